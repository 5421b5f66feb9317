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
 * The configuration of one node. {@code peerListen} and {@code peersAll} are null if nodes exchange
 * no messages; {@code known} is the last endpoint list of this node, null if there is none; {@code
 * writtenSettings} maps the path of each setting to its text in the file; {@code maxOpenRequests}
 * is the maximum number of open requests; {@code admin} is the listening address for operators,
 * null if there is none. Times are in milliseconds, {@code memoryMb} is in megabytes.
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
    EndpointListParser endpointListParser,
    double connectTimeout,
    double connectionIdle,
    int maxOpenRequests,
    InetSocketAddress admin) {
  /**
   * The allowance for a pause of the node between reading its clock and writing a request, ms.
   * Idempotency windows are shortened by it.
   */
  private static final double MAX_PAUSE_MILLIS = 150;

  /**
   * Reads the file named by {@code LB_CONFIG}. The variables {@code LB_NAME}, {@code LB_LISTEN},
   * {@code LB_DISCOVERY} and {@code LB_ADMIN} take precedence over the file.
   */
  public static NodeConfig fromEnvironment(Map<String, String> environment) throws ConfigException {
    return read(
        overridden(
            parse(environment), environment, List.of("name", "listen", "discovery", "admin")));
  }

  /**
   * Reads the file again while the node runs. The variables still have their values from the start
   * of the process, so a discovery address in the file is newer than {@code LB_DISCOVERY} and takes
   * precedence over it.
   */
  public static NodeConfig reread(Map<String, String> environment) throws ConfigException {
    JsonObject json = parse(environment);
    boolean discoveryInFile = json.get("discovery") != null;
    return read(
        overridden(
            json,
            environment,
            discoveryInFile
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

  /**
   * Parses a configuration.
   *
   * @throws ConfigException if it is invalid; the message is a single line that names the field
   */
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
      settings = mapping.build(connectTimeout + MAX_PAUSE_MILLIS);
    } catch (IllegalArgumentException invalid) {
      throw new ConfigException("settings:", invalid.getMessage());
    }
    EndpointListParser parser =
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
        known(json, parser),
        settings,
        mapping.writtenSettings(),
        parser,
        connectTimeout,
        number(mapping, "Ceilings.ConnIdle", 60000),
        (int) number(mapping, "Ceilings.OpenCap", 20000),
        optional(json, "admin"));
  }

  /**
   * Returns true if the texts of all settings are equal. Unlike the {@code equals} method of
   * records, whose code the runtime generates at its first use, this takes hardly any CPU time.
   */
  public boolean hasSameSettingsText(NodeConfig other) {
    return writtenSettings.equals(other.writtenSettings);
  }

  private static double number(SettingsMapping mapping, String path, double defaultValue)
      throws ConfigException {
    try {
      double value = mapping.number(path, defaultValue);
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

  private static int limit(JsonObject json, String field, int min, int defaultValue)
      throws ConfigException {
    JsonValue limits = json.get("limits");
    JsonValue limit = limits == null || !limits.isObject() ? null : limits.asObject().get(field);
    if (limit == null) {
      return defaultValue;
    }
    if (!limit.isNumber() || limit.asDouble() < min) {
      throw new ConfigException(
          "limits." + field, "must be a number of " + min + " or more: " + limit);
    }
    return (int) limit.asDouble();
  }

  private static MemberList known(JsonObject json, EndpointListParser parser)
      throws ConfigException {
    JsonValue known = json.get("known");
    if (known == null || known.isNull()) {
      return null;
    }
    try {
      return parser.read(known);
    } catch (IllegalArgumentException invalid) {
      throw new ConfigException("known:", invalid.getMessage());
    }
  }
}
