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
 * Encodes the maintenance file, in which a process passes its maintenance overrides to its
 * successor: {@code {"out":[names],"back":{name: ms since 1970}}}.
 */
public final class MaintenanceCodec {
  private MaintenanceCodec() {}

  /** Returns the text of the file, with the names in {@code out} sorted. */
  public static String write(MaintenanceOverrides.Saved saved) {
    JsonArray out = new JsonArray();
    saved.inMaintenance().stream().sorted().forEach(out::add);
    JsonObject back = new JsonObject();
    saved.returnedAt().forEach(back::add);
    return new JsonObject().add("out", out).add("back", back).toString();
  }

  /**
   * Parses the text of a file.
   *
   * @throws IllegalArgumentException if the text is truncated or in another format
   */
  public static MaintenanceOverrides.Saved read(String text) {
    try {
      JsonObject json = Json.parse(text).asObject();
      Set<String> out = new HashSet<>();
      for (JsonValue name : json.get("out").asArray()) {
        out.add(name.asString());
      }
      Map<String, Double> back = new HashMap<>();
      for (JsonObject.Member entry : json.get("back").asObject()) {
        back.put(entry.getName(), entry.getValue().asDouble());
      }
      return new MaintenanceOverrides.Saved(out, back);
    } catch (RuntimeException malformed) {
      throw new IllegalArgumentException(
          "not a maintenance file: " + malformed.getMessage(), malformed);
    }
  }
}
