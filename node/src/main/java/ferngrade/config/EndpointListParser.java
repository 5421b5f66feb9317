package ferngrade.config;

import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** Parses worker lists in the JSON format of discovery. */
public final class EndpointListParser {
  /** The maximum size of a worker, in standard cores; no machine is larger. */
  private static final double MAX_WORKER_CORES = 10_000;

  private final List<String> zones;
  private final List<String> workerTypes;

  /**
   * One revision of the list, whole if {@code complete}, otherwise only the changes since the last
   * revision. {@code faults} describes the invalid entries, which {@code members} omits.
   */
  public record MemberList(
      long revision, boolean complete, List<Endpoint> members, List<String> faults) {}

  /** Creates a parser that accepts these names of zones and worker types, any name if empty. */
  public EndpointListParser(List<String> zones, List<String> workerTypes) {
    this.zones = zones;
    this.workerTypes = workerTypes;
  }

  /**
   * Parses a list. Invalid entries are omitted.
   *
   * @throws IllegalArgumentException if the list as a whole is invalid; the message names the fault
   */
  public MemberList read(JsonValue json) {
    try {
      JsonObject list = object(json);
      List<Endpoint> members = new ArrayList<>();
      List<String> faults = new ArrayList<>();
      for (JsonValue entry : required(list, "members").asArray()) {
        try {
          members.add(member(object(entry)));
        } catch (IllegalArgumentException | UnsupportedOperationException invalid) {
          // An invalid entry does not invalidate the others.
          faults.add(entry + ": " + invalid.getMessage());
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

  private static JsonValue required(JsonObject object, String field) {
    JsonValue value = object.get(field);
    if (value == null) {
      throw new IllegalArgumentException(field + " is missing");
    }
    return value;
  }

  private Endpoint member(JsonObject entry) {
    String name = required(entry, "id").asString();
    double size = entry.getDouble("size", 1);
    // The largest size of a worker type is taken as the size of its idle workers: a single absurd
    // value would make all other workers of the type appear full.
    if (!(size >= 0 && size <= MAX_WORKER_CORES)) {
      throw new IllegalArgumentException("size is out of range: " + size);
    }
    Worker worker =
        new Worker(
            hash(name),
            state(required(entry, "phase").asString()),
            position(zones, entry.getString("locality", ""), "locality"),
            position(workerTypes, entry.getString("flavor", ""), "flavor"),
            entry.getInt("cell", 0),
            entry.getDouble("up_since_ms", 0),
            size);
    return new Endpoint(name, address(required(entry, "host_port").asString()), worker);
  }

  /**
   * Returns the non-negative hash of a worker's name, equal on all nodes. FNV-1a distributes the
   * names of a fleet well.
   */
  static long hash(String name) {
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

  /**
   * Parses an address of the form {@code 10.0.0.4:8081}. Host names are rejected, because they
   * would need a DNS lookup.
   */
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
