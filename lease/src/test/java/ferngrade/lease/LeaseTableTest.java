package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.lease.Command.Begun;
import ferngrade.lease.Command.Opened;
import ferngrade.lease.Command.Verdict;
import ferngrade.lease.LeaseTable.Slot;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong assignments of shards and against due times that are accepted twice; the
 * table is driven only by commands.
 */
class LeaseTableTest {
  private static final long WALL = 1_700_000_000_000L;
  private static final List<Shard> SHARDS =
      IntStream.range(0, 30).mapToObj(i -> new Shard("duty", i)).toList();

  private final LeaseTable table = new LeaseTable();
  private long index;

  private Object apply(Command command) {
    return table.apply(++index, command);
  }

  private long open(String member) {
    return ((Opened) apply(new Command.Open(member, member + "-1", WALL, SHARDS))).session();
  }

  private Map<Shard, String> owners() {
    Map<Shard, String> owners = new HashMap<>();
    table.slots().forEach(slot -> owners.put(slot.shard(), table.owner(slot)));
    return owners;
  }

  /** Releases all shards that their owners have to release. */
  private void release() {
    for (Slot slot : List.copyOf(table.slots())) {
      if (slot.releasing()) {
        apply(new Command.Release(slot.owner(), slot.shard(), slot.epoch()));
      }
    }
  }

  private Verdict begin(Shard shard, long epoch, long due) {
    return ((Begun) apply(new Command.Begin(shard, epoch, due))).verdict();
  }

  @Test
  void newMemberReceivesItsShardsAndOtherShardsStay() {
    open("a");
    open("b");
    release();
    Map<Shard, String> before = owners();
    open("c");
    assertEquals(before, owners(), "no shard moves before its release");
    release();
    Map<Shard, String> after = owners();
    int moved = 0;
    for (Shard shard : SHARDS) {
      if (!before.get(shard).equals(after.get(shard))) {
        assertEquals("c", after.get(shard));
        moved++;
      }
    }
    assertTrue(moved >= 3 && moved <= 18, "moved " + moved);
  }

  @Test
  void expiresOnlyUnrenewedSessionAndRaisesEpochsOfItsShards() {
    long a = open("a");
    open("b");
    release();
    Map<Shard, Long> epochs = new HashMap<>();
    table.slots().forEach(slot -> epochs.put(slot.shard(), slot.epoch()));
    apply(new Command.Renew(a, WALL));
    assertEquals(false, apply(new Command.Expire(a, 0)), "the session was renewed in between");
    assertEquals(true, apply(new Command.Expire(a, 1)));
    assertEquals(false, apply(new Command.Renew(a, WALL)), "an expired session cannot be renewed");
    for (Slot slot : table.slots()) {
      assertEquals("b", table.owner(slot));
    }
    assertTrue(
        table.slots().stream().filter(slot -> slot.epoch() > epochs.get(slot.shard())).count()
            >= 5);
  }

  @Test
  void repeatedOpenCountsAsRenewal() {
    long a = open("a");
    assertEquals(a, open("a"));
    assertEquals(false, apply(new Command.Expire(a, 0)));
  }

  @Test
  void successorProcessReceivesNoShardBeforeOldSessionEnds() {
    long old = open("a");
    long next = ((Opened) apply(new Command.Open("a", "a-2", WALL, SHARDS))).session();
    assertNotEquals(old, next);
    assertTrue(table.slots().stream().allMatch(slot -> slot.owner() == old));
    apply(new Command.Expire(old, 0));
    assertTrue(table.slots().stream().allMatch(slot -> slot.owner() == next));
  }

  @Test
  void drainingMemberReceivesNoShardsAndLastOneLeavesThemWithoutOwner() {
    long a = open("a");
    long b = open("b");
    release();
    apply(new Command.Drain(a));
    release();
    assertTrue(owners().values().stream().allMatch("b"::equals));
    apply(new Command.Drain(b));
    release();
    assertTrue(owners().values().stream().allMatch(java.util.Objects::isNull));
    open("c");
    assertTrue(owners().values().stream().allMatch("c"::equals));
  }

  @Test
  void transfersShardToChosenMemberAndBack() {
    open("a");
    open("b");
    release();
    Shard moved =
        SHARDS.stream().filter(shard -> owners().get(shard).equals("a")).findFirst().orElseThrow();
    assertEquals(false, apply(new Command.Transfer(moved, "nobody")));
    assertEquals(true, apply(new Command.Transfer(moved, "b")));
    release();
    assertEquals("b", owners().get(moved));
    apply(new Command.Transfer(moved, ""));
    release();
    assertEquals("a", owners().get(moved));
  }

  @Test
  void rejectsOutdatedEpochRepeatedDueTimeAndClockFarAhead() {
    long a = open("a");
    open("b");
    open("c");
    release();
    Slot slot =
        table.slots().stream()
            .filter(candidate -> candidate.owner() == a)
            .findFirst()
            .orElseThrow();
    Shard shard = slot.shard();
    assertEquals(Verdict.ACCEPTED, begin(shard, slot.epoch(), WALL));
    assertEquals(Verdict.REPEATED, begin(shard, slot.epoch(), WALL));
    assertEquals(
        Verdict.OPEN,
        begin(shard, slot.epoch(), WALL + 100),
        "the previous due time is still open");
    apply(new Command.Finish(shard, slot.epoch(), WALL, "served"));
    assertEquals(
        Verdict.EARLY,
        begin(shard, slot.epoch(), WALL + 3_600_000),
        "an hour ahead of the clocks of the other two members");
    // The clock of the owner is now also an hour ahead, but the median of the clocks is not.
    apply(new Command.Renew(a, WALL + 3_600_000));
    assertEquals(Verdict.EARLY, begin(shard, slot.epoch(), WALL + 3_600_000));
    assertEquals(Verdict.ACCEPTED, begin(shard, slot.epoch(), WALL + 100));
    apply(new Command.Expire(a, 1));
    assertEquals(Verdict.STALE, begin(shard, slot.epoch(), WALL + 1_000));
    assertFalse(
        (Boolean) apply(new Command.Finish(shard, slot.epoch(), WALL + 100, "late")),
        "the former owner cannot record a result");
    Slot now = table.slot(shard);
    assertTrue(
        now.open() && now.begunBy() == slot.epoch(), "the next owner sees the open due time");
    assertEquals(true, apply(new Command.Finish(shard, now.epoch(), WALL + 100, "in doubt")));
    assertEquals(Verdict.ACCEPTED, begin(shard, now.epoch(), WALL + 1_000));
  }

  @Test
  void snapshotRestoresWholeTable() {
    open("a");
    open("b");
    release();
    begin(SHARDS.get(0), table.slot(SHARDS.get(0)).epoch(), WALL);
    LeaseTable copy = new LeaseTable();
    copy.restore(table.index(), table.snapshot());
    for (Command next :
        List.of(
            new Command.Open("c", "c-1", WALL, SHARDS),
            new Command.Expire(1, 0),
            new Command.Transfer(SHARDS.get(2), "b"))) {
      index++;
      assertEquals(table.apply(index, next), copy.apply(index, next));
    }
    assertEquals(List.copyOf(table.slots()), List.copyOf(copy.slots()));
    assertEquals(List.copyOf(table.sessions()), List.copyOf(copy.sessions()));
    assertNull(copy.slot(new Shard("unknown", 0)));
  }
}
