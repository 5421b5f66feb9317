package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.lease.Command.Opened;
import ferngrade.lease.RecurringSchedule.Step;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * What the owner of a recurring job does, by the clock and the log; and the guard where its effects
 * land.
 */
class RecurringScheduleTest {
  private static final long HOUR = 3_600_000;
  private static final long DAY = 24 * HOUR;
  private static final long MIDNIGHT = 20_000 * DAY;

  private final LeaseTable table = new LeaseTable();
  private final RecurringSchedule daily = new RecurringSchedule("sweep", DAY, true, false);
  private long index;

  private long open(String member, long wall) {
    return ((Opened)
            table.apply(++index, new Command.Open(member, member, wall, List.of(daily.shard()))))
        .session();
  }

  private long epoch() {
    return table.slot(daily.shard()).epoch();
  }

  private Step step(RecurringSchedule job, long wall) {
    return job.decide(wall, table.slot(daily.shard()), epoch()).step();
  }

  private void begin(long due) {
    table.apply(++index, new Command.Begin(daily.shard(), epoch(), due));
  }

  private void finish(long due) {
    table.apply(++index, new Command.Finish(daily.shard(), epoch(), due, "served"));
  }

  @Test
  void theFirstDueTimeBeforeTheFleetBeganIsLeftOutAndEachLaterOneIsPutInOnce() {
    open("a", MIDNIGHT);
    assertEquals(Step.SKIP, step(daily, MIDNIGHT + 5));
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    assertEquals(Step.WAIT, step(daily, MIDNIGHT + DAY - 1));
    assertEquals(Step.BEGIN, step(daily, MIDNIGHT + DAY));
  }

  @Test
  void whatFellIntoAnOutageIsRunLateOnceOrLeftOut() {
    open("a", MIDNIGHT);
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    long back = MIDNIGHT + 3 * DAY + 20 * HOUR;
    assertEquals(
        new RecurringSchedule.Decision(Step.BEGIN, MIDNIGHT + 3 * DAY),
        daily.decide(back, table.slot(daily.shard()), epoch()),
        "once for the three that were missed");
    assertEquals(Step.SKIP, step(new RecurringSchedule("sweep", DAY, false, false), back));
    assertEquals(
        Step.BEGIN,
        step(new RecurringSchedule("sweep", DAY, false, false), MIDNIGHT + 3 * DAY + HOUR));
  }

  @Test
  void whatAnEarlierOwnerBeganIsPutInAgainOnlyWhereItMayBe() {
    long a = open("a", MIDNIGHT);
    begin(MIDNIGHT);
    assertEquals(Step.BEGUN, step(daily, MIDNIGHT + 10), "its own, still on its way");
    table.apply(++index, new Command.Expire(a, 0));
    open("b", MIDNIGHT);
    assertEquals(Step.DOUBT, step(daily, MIDNIGHT + 2_000));
    assertEquals(
        Step.REPEAT, step(new RecurringSchedule("sweep", DAY, true, true), MIDNIGHT + 2_000));
  }

  @Test
  void aClockThatGoesBackPutsNothingInTwice() {
    open("a", MIDNIGHT);
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    assertEquals(Step.WAIT, step(daily, MIDNIGHT - HOUR));
  }

  @Test
  void theFenceLetsNoOlderEpochThroughOnceItHasSeenALaterOne() {
    FencingGuard fence = new FencingGuard();
    assertTrue(fence.admits("sweep/0", 3));
    assertTrue(fence.admits("sweep/0", 3));
    assertTrue(fence.admits("sweep/0", 5));
    assertFalse(fence.admits("sweep/0", 4));
    assertTrue(fence.admits("roll/0", 1), "each shard has its own");
  }
}
