package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import java.util.LinkedHashMap;
import java.util.Map;

/** The worker list made of the lines that a watch has told, as one whole line again. */
final class ListCopy {
  private final Map<String, JsonObject> members = new LinkedHashMap<>();
  private long revision;
  private boolean any;

  /** Takes a line; one that is none is said by an exception and changes nothing. */
  void take(String line) {
    JsonObject said = Json.parse(line).asObject();
    long at = said.getLong("revision", 0);
    Map<String, JsonObject> changed = new LinkedHashMap<>();
    for (JsonValue each : said.get("members").asArray()) {
      JsonObject member = each.asObject();
      changed.put(member.get("id").asString(), member);
    }
    if (said.getBoolean("complete", false)) {
      members.clear();
      any = true;
    }
    revision = at;
    changed.forEach(
        (id, member) -> {
          if ("left".equals(member.getString("phase", ""))) {
            members.remove(id);
          } else {
            members.put(id, member);
          }
        });
  }

  /** The whole list, null before the first. */
  String whole() {
    if (!any) {
      return null;
    }
    JsonArray all = Json.array();
    members.values().forEach(all::add);
    return Json.object()
        .add("revision", revision)
        .add("complete", true)
        .add("members", all)
        .toString();
  }
}
