package ferngrade.fleet;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import ferngrade.lease.LeaseTable.Session;
import ferngrade.lease.LeaseTable.Slot;
import java.util.List;

/**
 * The state of the fleet as known to one member at one time.
 *
 * @param leader the name of the Raft leader; null if none is known
 * @param term the Raft term
 * @param leaseValid whether a majority confirms the session of this member
 * @param index the index of the last applied log entry
 * @param sessions the sessions of all members
 * @param duties all shards with their owners
 */
record FleetStatus(
    String fleet,
    String member,
    String leader,
    int term,
    boolean leaseValid,
    long index,
    List<Session> sessions,
    List<Duty> duties) {
  /** A shard and the name of its owner, null if it has none. */
  record Duty(Slot slot, String owner) {}

  /** Returns this status as the JSON that the admin address serves. */
  JsonObject json() {
    JsonArray members = Json.array();
    for (Session session : sessions) {
      members.add(
          Json.object()
              .add("member", session.member())
              .add("session", session.id())
              .add("renewals", session.renewals())
              .add("draining", session.draining())
              .add("wall", session.wall()));
    }
    JsonArray shards = Json.array();
    for (Duty duty : duties) {
      Slot slot = duty.slot();
      shards.add(
          Json.object()
              .add("shard", slot.shard().toString())
              .add("owner", duty.owner())
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
        .add("holds", leaseValid)
        .add("index", index)
        .add("sessions", members)
        .add("duties", shards);
  }
}
