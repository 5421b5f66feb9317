package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.membership.MembershipUpdate;
import java.util.List;
import java.util.Locale;

/**
 * The gossip status of all members as known to one member, and the number of datagrams that this
 * member has rejected.
 */
record MembersStatus(String member, List<Line> members, long rejected) {
  /** The latest update about a member and the time for which its status has been unchanged, ms. */
  record Line(MembershipUpdate update, double sinceMillis) {}

  /** Returns this status as the JSON that the admin address serves. */
  JsonObject json() {
    JsonArray lines = Json.array();
    for (Line line : members) {
      MembershipUpdate update = line.update();
      lines.add(
          Json.object()
              .add("member", update.name())
              .add("address", update.address())
              .add("standing", update.standing().name().toLowerCase(Locale.ROOT))
              .add("incarnation", update.incarnation())
              .add("run", Long.toHexString(update.run()))
              .add("by", update.by())
              .add("since_ms", Math.round(line.sinceMillis())));
    }
    return Json.object().add("member", member).add("refused", rejected).add("members", lines);
  }
}
