package ferngrade.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.ParseException;
import ferngrade.config.EndpointListParser.MemberList;
import ferngrade.dispatch.DispatcherSettings;
import java.io.IOException;
import java.io.Reader;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The configuration of one node at its start. {@code peerListen} and {@code peersAll} are null
 * where nodes exchange no messages; {@code known} is the endpoint list that this node had last,
 * null if it never had one; {@code writtenSettings} has the settings by path, as the file has them.
 * Times are milliseconds.
 */
public record NodeConfig(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    int memoryMb,
    InetSocketAddress peerListen,
    List<InetSocketAddress> peers,
    InetSocketAddress peersAll,
    MemberList known,
    DispatcherSettings settings,
    Map<String, String> writtenSettings,
    EndpointListParser memberReader,
    double connectTimeout,
    double connectionIdle,
    int mostOpen,
    InetSocketAddress admin) {
  /**
   * How long a node may be held up between reading its clock and writing, ms: idempotency windows
   * allow for it.
   */
  private static final double HOLD_UP = 150;

  /**
   * Reads the file that {@code LB_CONFIG} names; the other {@code LB_*} variables take precedence.
   * {@code admin}, where operators call, is null where neither the file nor {@code LB_ADMIN} names
   * one.
   */
  public static NodeConfig fromEnvironment(Map<String, String> environment) throws ConfigException {
    return read(
        overridden(
            parse(environment), environment, List.of("name", "listen", "discovery", "admin")));
  }

  /**
   * Reads the file again while the node runs. The variables are those of its start, so where the
   * file names a discovery, that is newer than the one that {@code LB_DISCOVERY} names, and wins.
   */
  public static NodeConfig reread(Map<String, String> environment) throws ConfigException {
    JsonObject json = parse(environment);
    boolean moved = json.get("discovery") != null;
    return read(
        overridden(
            json,
            environment,
            moved
                ? List.of("name", "listen", "admin")
                : List.of("name", "listen", "discovery", "admin")));
  }

  private static JsonObject overridden(
      JsonObject json, Map<String, String> environment, List<String> fields) {
    for (String field : fields) {
      String override = environment.get("LB_" + field.toUpperCase(Locale.ROOT));
      if (override != null && !override.isEmpty()) {
        json.set(field, override);
      }
    }
    return json;
  }

  private static JsonObject parse(Map<String, String> environment) throws ConfigException {
    String file = environment.get("LB_CONFIG");
    if (file == null || file.isEmpty()) {
      throw new ConfigException("LB_CONFIG", "is not set");
    }
    try (Reader reader = Files.newBufferedReader(Path.of(file))) {
      return Json.parse(reader).asObject();
    } catch (IOException | InvalidPathException unreadable) {
      throw new ConfigException("LB_CONFIG", "cannot be read: " + unreadable.getMessage());
    } catch (ParseException | UnsupportedOperationException malformed) {
      throw new ConfigException("LB_CONFIG", "is not a JSON object: " + malformed.getMessage());
    }
  }

  /** Reads a configuration; what is wrong with it is said in one line that names the field. */
  public static NodeConfig read(JsonObject json) throws ConfigException {
    SettingsMapping mapping = new SettingsMapping();
    JsonValue nested = json.get("settings");
    if (nested == null || !nested.isObject()) {
      throw new ConfigException("settings", "is missing or not an object");
    }
    mapping.put(nested.asObject());
    DispatcherSettings settings;
    double connectTimeout = number(mapping, "Ceilings.ConnectTimeout", 1000);
    try {
      settings = mapping.build(connectTimeout + HOLD_UP);
    } catch (IllegalArgumentException invalid) {
      throw new ConfigException("settings:", invalid.getMessage());
    }
    EndpointListParser reader =
        new EndpointListParser(mapping.list("Zones"), mapping.list("Kinds"));
    List<InetSocketAddress> peers = new ArrayList<>();
    JsonValue addresses = json.get("peers");
    if (addresses != null && addresses.isArray()) {
      for (JsonValue peer : addresses.asArray()) {
        peers.add(address("peers", peer));
      }
    }
    return new NodeConfig(
        text(json, "name"),
        required(json, "listen"),
        required(json, "discovery"),
        seed(json),
        limit(json, "sockets", 64, 1024),
        limit(json, "memory_mb", 16, 192),
        optional(json, "peer_listen"),
        peers,
        optional(json, "peers_all"),
        known(json, reader),
        settings,
        mapping.asWritten(),
        reader,
        connectTimeout,
        number(mapping, "Ceilings.ConnIdle", 60000),
        (int) number(mapping, "Ceilings.OpenCap", 20000),
        optional(json, "admin"));
  }

  /**
   * True if the settings of both are written alike. Unlike the comparison of records, for which the
   * runtime makes code at its first use, this takes hardly any processor time.
   */
  public boolean settingsWrittenAs(NodeConfig other) {
    return writtenSettings.equals(other.writtenSettings);
  }

  private static double number(SettingsMapping mapping, String path, double absent)
      throws ConfigException {
    try {
      double value = mapping.number(path, absent);
      if (value > 0) {
        return value;
      }
    } catch (IllegalArgumentException notANumber) {
      throw new ConfigException("settings:", notANumber.getMessage());
    }
    throw new ConfigException("settings:", path + " must be above 0");
  }

  private static String text(JsonObject json, String field) throws ConfigException {
    JsonValue value = json.get(field);
    if (value == null || !value.isString() || value.asString().isEmpty()) {
      throw new ConfigException(field, "is missing or not a text");
    }
    return value.asString();
  }

  private static InetSocketAddress required(JsonObject json, String field) throws ConfigException {
    return address(field, Json.value(text(json, field)));
  }

  private static InetSocketAddress optional(JsonObject json, String field) throws ConfigException {
    JsonValue value = json.get(field);
    return value == null || value.isNull() ? null : address(field, value);
  }

  private static InetSocketAddress address(String field, JsonValue value) throws ConfigException {
    try {
      return EndpointListParser.address(value.asString());
    } catch (IllegalArgumentException | UnsupportedOperationException invalid) {
      throw new ConfigException(field, invalid.getMessage());
    }
  }

  private static long seed(JsonObject json) throws ConfigException {
    String hex = text(json, "seed");
    try {
      return Long.parseUnsignedLong(hex, 16);
    } catch (NumberFormatException notHex) {
      throw new ConfigException("seed", "is not a hexadecimal number: " + hex);
    }
  }

  private static int limit(JsonObject json, String field, int least, int absent)
      throws ConfigException {
    JsonValue limits = json.get("limits");
    JsonValue limit = limits == null || !limits.isObject() ? null : limits.asObject().get(field);
    if (limit == null) {
      return absent;
    }
    if (!limit.isNumber() || limit.asDouble() < least) {
      throw new ConfigException(
          "limits." + field, "must be a number of " + least + " or more: " + limit);
    }
    return (int) limit.asDouble();
  }

  private static MemberList known(JsonObject json, EndpointListParser reader)
      throws ConfigException {
    JsonValue known = json.get("known");
    if (known == null || known.isNull()) {
      return null;
    }
    try {
      return reader.read(known);
    } catch (IllegalArgumentException invalid) {
      throw new ConfigException("known:", invalid.getMessage());
    }
  }
}
