package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.LinkedHashMap;
import java.util.Map;

/** Maintains the current endpoint list from the lines of a watch and writes it as one line. */
final class EndpointListCopy {
  private final Map<String, JsonObject> members = new LinkedHashMap<>();
  private long revision;
  private boolean initialized;

  /** Applies a line of a watch; an invalid line throws an exception and changes nothing. */
  void apply(String line) {
    JsonObject update = Json.parse(line).asObject();
    long updateRevision = update.getLong("revision", 0);
    Map<String, JsonObject> changed = new LinkedHashMap<>();
    for (JsonValue value : update.get("members").asArray()) {
      JsonObject member = value.asObject();
      changed.put(member.get("id").asString(), member);
    }
    if (update.getBoolean("complete", false)) {
      members.clear();
      initialized = true;
    }
    revision = updateRevision;
    changed.forEach(
        (id, member) -> {
          if ("left".equals(member.getString("phase", ""))) {
            members.remove(id);
          } else {
            members.put(id, member);
          }
        });
  }

  /** Returns the whole list as one line; null until a line with the whole list was applied. */
  String fullList() {
    if (!initialized) {
      return null;
    }
    JsonArray array = Json.array();
    members.values().forEach(array::add);
    return Json.object()
        .add("revision", revision)
        .add("complete", true)
        .add("members", array)
        .toString();
  }
}
