package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.membership.MembershipUpdate;
import java.util.List;
import java.util.Locale;

/** Who seems to live, as one member sees it, and how many datagrams it has refused. */
record MembersStatus(String member, List<Line> members, long refused) {
  /** What was heard of a member last, and for how long that has been so, ms. */
  record Line(MembershipUpdate news, double since) {}

  /** The same as JSON, for the admin address. */
  JsonObject json() {
    JsonArray lines = Json.array();
    for (Line each : members) {
      MembershipUpdate news = each.news();
      lines.add(
          Json.object()
              .add("member", news.name())
              .add("address", news.address())
              .add("standing", news.standing().name().toLowerCase(Locale.ROOT))
              .add("incarnation", news.incarnation())
              .add("run", Long.toHexString(news.run()))
              .add("by", news.by())
              .add("since_ms", Math.round(each.since())));
    }
    return Json.object().add("member", member).add("refused", refused).add("members", lines);
  }
}
