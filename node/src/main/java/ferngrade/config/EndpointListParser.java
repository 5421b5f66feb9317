package ferngrade.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Reads worker lists in discovery's form. */
public final class EndpointListParser {
  /** No machine is larger, in standard cores. */
  private static final double MOST_SIZE = 10_000;

  private final List<String> zones;
  private final List<String> kinds;

  /**
   * One version of the list, or of changes to it; {@code faults} tells of entries that were left
   * out.
   */
  public record MemberList(
      long revision, boolean complete, List<Endpoint> members, List<String> faults) {}

  /** A reader that knows the settings' names of zones and kinds. */
  public EndpointListParser(List<String> zones, List<String> kinds) {
    this.zones = zones;
    this.kinds = kinds;
  }

  /** Reads a list; an {@link IllegalArgumentException} says what is wrong with it. */
  public MemberList read(JsonValue json) {
    try {
      JsonObject list = object(json);
      List<Endpoint> members = new ArrayList<>();
      List<String> faults = new ArrayList<>();
      for (JsonValue entry : present(list, "members").asArray()) {
        try {
          members.add(member(object(entry)));
        } catch (IllegalArgumentException | UnsupportedOperationException bad) {
          // One entry that cannot be used says nothing of the others.
          faults.add(entry + ": " + bad.getMessage());
        }
      }
      return new MemberList(
          list.getLong("revision", 0), list.getBoolean("complete", true), members, faults);
    } catch (UnsupportedOperationException | NumberFormatException wrongType) {
      throw new IllegalArgumentException("not a worker list: " + wrongType.getMessage(), wrongType);
    }
  }

  private static JsonObject object(JsonValue json) {
    if (!json.isObject()) {
      throw new IllegalArgumentException("not an object: " + json);
    }
    return json.asObject();
  }

  private static JsonValue present(JsonObject object, String field) {
    JsonValue value = object.get(field);
    if (value == null) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value;
  }

  private Endpoint member(JsonObject entry) {
    String name = present(entry, "id").asString();
    double size = entry.getDouble("size", 1);
    // The largest size of a kind stands for its idle workers: one wild figure would make all others
    // look full.
    if (!(size >= 0 && size <= MOST_SIZE)) {
      throw new IllegalArgumentException("size is out of range: " + size);
    }
    Worker worker =
        new Worker(
            id(name),
            state(present(entry, "phase").asString()),
            position(zones, entry.getString("locality", ""), "locality"),
            position(kinds, entry.getString("flavor", ""), "flavor"),
            entry.getInt("cell", 0),
            entry.getDouble("up_since_ms", 0),
            size);
    return new Endpoint(name, address(present(entry, "host_port").asString()), worker);
  }

  /**
   * A number that every node makes of the same name: FNV-1a, which spreads the names of a fleet
   * well.
   */
  static long id(String name) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
    }
    return hash >>> 1;
  }

  private static WorkerState state(String phase) {
    return switch (phase) {
      case "active" -> WorkerState.READY;
      case "leaving" -> WorkerState.DRAINING;
      case "left" -> WorkerState.GONE;
      default -> throw new IllegalArgumentException("phase is unknown: " + phase);
    };
  }

  private static int position(List<String> names, String name, String field) {
    int position = names.indexOf(name);
    if (position < 0 && !names.isEmpty()) {
      throw new IllegalArgumentException(field + " is unknown: " + name);
    }
    return Math.max(0, position);
  }

  /** An address of the form {@code 10.0.0.4:8081}, which must not need a look-up. */
  public static InetSocketAddress address(String hostPort) {
    int colon = hostPort.lastIndexOf(':');
    try {
      int port = Integer.parseInt(hostPort.substring(colon + 1));
      if (colon > 0 && hostPort.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
        return new InetSocketAddress(hostPort.substring(0, colon), port);
      }
    } catch (IllegalArgumentException badPort) {
      throw new IllegalArgumentException("is not address:port: " + hostPort, badPort);
    }
    throw new IllegalArgumentException("is not address:port: " + hostPort);
  }
}
