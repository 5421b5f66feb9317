package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.lease.Command.Opened;
import ferngrade.lease.RecurringSchedule.Step;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against recurring jobs that are run twice or skipped wrongly after outages, owner changes
 * and clock steps, and against effects of outdated owners.
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
  void skipsFirstDueTimeAndRunsEachLaterOneOnce() {
    open("a", MIDNIGHT);
    assertEquals(Step.SKIP, step(daily, MIDNIGHT + 5));
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    assertEquals(Step.WAIT, step(daily, MIDNIGHT + DAY - 1));
    assertEquals(Step.BEGIN, step(daily, MIDNIGHT + DAY));
  }

  @Test
  void runsMissedDueTimesOnceOrSkipsThem() {
    open("a", MIDNIGHT);
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    long afterOutage = MIDNIGHT + 3 * DAY + 20 * HOUR;
    assertEquals(
        new RecurringSchedule.Decision(Step.BEGIN, MIDNIGHT + 3 * DAY),
        daily.decide(afterOutage, table.slot(daily.shard()), epoch()),
        "one run for the three missed due times");
    assertEquals(Step.SKIP, step(new RecurringSchedule("sweep", DAY, false, false), afterOutage));
    assertEquals(
        Step.BEGIN,
        step(new RecurringSchedule("sweep", DAY, false, false), MIDNIGHT + 3 * DAY + HOUR));
  }

  @Test
  void repeatsDueTimeOfEarlierOwnerOnlyIfAllowed() {
    long a = open("a", MIDNIGHT);
    begin(MIDNIGHT);
    assertEquals(
        Step.BEGUN, step(daily, MIDNIGHT + 10), "begun by this owner, without a result yet");
    table.apply(++index, new Command.Expire(a, 0));
    open("b", MIDNIGHT);
    assertEquals(Step.DOUBT, step(daily, MIDNIGHT + 2_000));
    assertEquals(
        Step.REPEAT, step(new RecurringSchedule("sweep", DAY, true, true), MIDNIGHT + 2_000));
  }

  @Test
  void clockStepBackRepeatsNoDueTime() {
    open("a", MIDNIGHT);
    begin(MIDNIGHT);
    finish(MIDNIGHT);
    assertEquals(Step.WAIT, step(daily, MIDNIGHT - HOUR));
  }

  @Test
  void fencingGuardRejectsOlderEpochs() {
    FencingGuard guard = new FencingGuard();
    assertTrue(guard.admits("sweep/0", 3));
    assertTrue(guard.admits("sweep/0", 3));
    assertTrue(guard.admits("sweep/0", 5));
    assertFalse(guard.admits("sweep/0", 4));
    assertTrue(guard.admits("roll/0", 1), "each shard has its own epochs");
  }
}
