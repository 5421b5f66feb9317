package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.lease.LeaseTable.Session;
import ferngrade.lease.LeaseTable.Slot;
import java.util.List;

/**
 * What one member knows of the fleet: its leader, its sessions, who owns what, and since when and
 * why.
 */
record FleetStatus(
    String fleet,
    String member,
    String leader,
    int term,
    boolean holds,
    long index,
    List<Session> sessions,
    List<Duty> duties) {
  /** A shard and its owner, null for none. */
  record Duty(Slot slot, String owner) {}

  /** The same as JSON, for the admin address. */
  JsonObject json() {
    JsonArray members = Json.array();
    for (Session each : sessions) {
      members.add(
          Json.object()
              .add("member", each.member())
              .add("session", each.id())
              .add("renewals", each.renewals())
              .add("draining", each.draining())
              .add("wall", each.wall()));
    }
    JsonArray shards = Json.array();
    for (Duty each : duties) {
      Slot slot = each.slot();
      shards.add(
          Json.object()
              .add("shard", slot.shard().toString())
              .add("owner", each.owner())
              .add("epoch", slot.epoch())
              .add("since", slot.since())
              .add("why", slot.why())
              .add("releasing", slot.releasing())
              .add("wanted", slot.wanted())
              .add("due", slot.due())
              .add("open", slot.open())
              .add("result", slot.result()));
    }
    return Json.object()
        .add("fleet", fleet)
        .add("member", member)
        .add("leader", leader)
        .add("term", term)
        .add("holds", holds)
        .add("index", index)
        .add("sessions", members)
        .add("duties", shards);
  }
}
