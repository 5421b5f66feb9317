package ferngrade.config;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.node.MaintenanceOverrides;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The file in which a process leaves its maintenance to the next one: {@code
 * {"out":[names],"back":{name: ms since 1970}}}.
 */
public final class MaintenanceCodec {
  private MaintenanceCodec() {}

  /** The file's text. */
  public static String write(MaintenanceOverrides.Saved saved) {
    JsonArray out = new JsonArray();
    saved.out().stream().sorted().forEach(out::add);
    JsonObject back = new JsonObject();
    saved.back().forEach(back::add);
    return new JsonObject().add("out", out).add("back", back).toString();
  }

  /**
   * Reads a file's text; throws {@link IllegalArgumentException} for text that is no such state,
   * torn or not.
   */
  public static MaintenanceOverrides.Saved read(String text) {
    try {
      JsonObject json = Json.parse(text).asObject();
      Set<String> out = new HashSet<>();
      for (JsonValue name : json.get("out").asArray()) {
        out.add(name.asString());
      }
      Map<String, Double> back = new HashMap<>();
      for (JsonObject.Member each : json.get("back").asObject()) {
        back.put(each.getName(), each.getValue().asDouble());
      }
      return new MaintenanceOverrides.Saved(out, back);
    } catch (RuntimeException malformed) {
      throw new IllegalArgumentException(
          "not a saved maintenance: " + malformed.getMessage(), malformed);
    }
  }
}
