package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a lease that outlasts its session. The test sets the clock. */
class LeaseHolderTest {
  private static final Shard SHARD = new Shard("sweep", 0);
  private static final LeaseHolder.Timing TIMING = new LeaseHolder.Timing(1_000, 0.02);

  private final LeaseTable table = new LeaseTable();
  private final List<Command> proposed = new ArrayList<>();
  private long index;

  private LeaseHolder holder(String name) {
    return new LeaseHolder(name, name, List.of(SHARD), TIMING, proposed::add);
  }

  /**
   * Calls {@code tick}, applies each proposed command to the table, and passes its result to the
   * holder.
   */
  private void tick(LeaseHolder holder, double now) {
    holder.tick(now, 0, table);
    for (Command command : List.copyOf(proposed)) {
      holder.commandAnswered(now, command, table.apply(++index, command));
    }
    proposed.clear();
  }

  @Test
  void countsLeaseFromProposalAndShortensItByDrift() {
    LeaseHolder holder = holder("a");
    tick(holder, 100);
    assertTrue(holder.epoch(SHARD, 100 + 979, table).isPresent());
    assertFalse(holder.epoch(SHARD, 100 + 981, table).isPresent());
  }

  @Test
  void proposesExpiryOnlyAfterLeaseTimeAndDriftHavePassedLocally() {
    LeaseHolder a = holder("a");
    LeaseHolder b = holder("b");
    tick(a, 0);
    tick(b, 5_000);
    proposed.clear();
    b.tick(5_000 + 1_019, 0, table);
    assertTrue(
        proposed.stream().noneMatch(command -> command instanceof Command.Expire),
        proposed.toString());
    b.tick(5_000 + 1_030, 0, table);
    assertTrue(proposed.contains(new Command.Expire(1, 0)), proposed.toString());
  }

  @Test
  void observedRenewalRestartsExpiryTimeout() {
    LeaseHolder a = holder("a");
    LeaseHolder b = holder("b");
    tick(a, 0);
    tick(b, 0);
    b.tick(800, 0, table);
    tick(a, 900);
    b.tick(910, 0, table);
    proposed.clear();
    b.tick(910 + 1_010, 0, table);
    assertTrue(
        proposed.stream().noneMatch(command -> command instanceof Command.Expire),
        proposed.toString());
    b.tick(910 + 1_030, 0, table);
    assertTrue(
        proposed.stream().anyMatch(command -> command instanceof Command.Expire),
        proposed.toString());
  }

  @Test
  void expiredMemberHoldsNothingAndOpensNewSession() {
    LeaseHolder a = holder("a");
    tick(a, 0);
    long epoch = a.epoch(SHARD, 10, table).orElseThrow();
    table.apply(++index, new Command.Expire(1, 0));
    a.tick(20, 0, table);
    assertFalse(a.epoch(SHARD, 20, table).isPresent());
    assertTrue(
        proposed.stream().anyMatch(command -> command instanceof Command.Open),
        proposed.toString());
    tick(a, 400);
    assertTrue(a.epoch(SHARD, 401, table).orElseThrow() > epoch);
  }

  @Test
  void releasedShardIsNotHeldEvenIfProposalIsLost() {
    LeaseHolder a = holder("a");
    tick(a, 0);
    table.apply(++index, new Command.Open("b", "b", 0, List.of(SHARD)));
    table.apply(++index, new Command.Transfer(SHARD, "b"));
    a.tick(20, 0, table);
    assertTrue(
        proposed.stream().anyMatch(command -> command instanceof Command.Release),
        proposed.toString());
    assertFalse(a.epoch(SHARD, 21, table).isPresent());
    // The proposal of the release was lost, and operators have transferred the shard back to this
    // member. The member still does not act for the shard until the release is applied.
    proposed.clear();
    table.apply(++index, new Command.Transfer(SHARD, "a"));
    assertFalse(a.epoch(SHARD, 30, table).isPresent());
    tick(a, 400);
    assertTrue(
        a.epoch(SHARD, 401, table).isPresent(), "the shard is assigned again under another epoch");
  }

  @Test
  void leavingMemberReleasesAllShardsAndClosesItsSession() {
    LeaseHolder a = holder("a");
    LeaseHolder b = holder("b");
    tick(a, 0);
    tick(b, 0);
    a.drain();
    for (double now = 10; now < 100 && !a.closed(); now += 10) {
      tick(a, now);
    }
    assertTrue(a.closed());
    assertEquals("b", table.owner(table.slot(SHARD)));
    assertEquals(1, table.sessions().size());
  }
}
