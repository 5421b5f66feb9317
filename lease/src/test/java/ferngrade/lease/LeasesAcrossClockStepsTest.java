package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against effects of wall clock steps while members hold leases: each due time is run at
 * most once, a clock step causes no burst of runs, and no lease depends on the wall clock.
 */
class LeasesAcrossClockStepsTest {
  private static final long MINUTE = 60_000;
  private static final long HOUR = 60 * MINUTE;
  private static final long START = 20_000L * 24 * HOUR;
  private static final LeaseHolder.Timing TIMING = new LeaseHolder.Timing(4_000, 0.02);
  private static final RecurringSchedule JOB = new RecurringSchedule("sweep", MINUTE, true, false);
  private static final long STEP_AT = 10 * MINUTE + 7_000;
  private static final long END = 2 * HOUR + 30 * MINUTE;

  private final LeaseTable table = new LeaseTable();
  private final List<Long> runs = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private long index;
  private long now;

  /**
   * A process with a monotonic clock and a wall clock, its leases, and its runner of the recurring
   * job.
   */
  private final class Member implements RecurringJobRunner.Actions {
    private final LeaseHolder holder;
    private final RecurringJobRunner runner;
    private long wallAhead;

    Member(String name) {
      holder = new LeaseHolder(name, name, List.of(JOB.shard()), TIMING, this::propose);
      runner = new RecurringJobRunner(JOB, holder, table, this);
    }

    private void propose(Command command) {
      holder.commandAnswered((double) now, command, table.apply(++index, command));
    }

    @Override
    public void propose(Command command, Consumer<Object> done, Runnable unknown) {
      done.accept(table.apply(++index, command));
    }

    @Override
    public void submit(long due, long epoch) {
      runs.add(due);
      runner.resultReceived("served");
    }

    long wall() {
      return START + now + wallAhead;
    }

    void tick() {
      holder.tick((double) now, wall(), table);
      runner.tick((double) now, wall());
    }
  }

  static Stream<Arguments> steps() {
    return Stream.of(HOUR, -HOUR, 5_000L, -5_000L)
        .flatMap(
            step ->
                Stream.of(
                    Arguments.of(List.of(step)),
                    Arguments.of(List.of(step, -step)),
                    Arguments.of(List.of(step, step)),
                    Arguments.of(List.of(step, 0L, 0L)),
                    Arguments.of(List.of(0L, step, -step))));
  }

  /** Steps each member's clock by its value in the list. */
  @ParameterizedTest
  @MethodSource("steps")
  void clockStepEndsNoLeaseAndRunsNoDueTimeTwice(List<Long> steps) {
    steps.forEach(step -> members.add(new Member("m-" + members.size())));
    advanceTo(STEP_AT);
    long sessions = table.sessions().size();
    long epoch = table.slot(JOB.shard()).epoch();
    assertEquals(10, runs.size(), "expected one run a minute: " + runs);
    for (int i = 0; i < steps.size(); i++) {
      members.get(i).wallAhead = steps.get(i);
    }
    advanceTo(END);
    assertEquals(sessions, table.sessions().size());
    assertEquals(epoch, table.slot(JOB.shard()).epoch(), "the owner must not change");
    assertEquals(runs.size(), new HashSet<>(runs).size(), "run twice: " + runs);
    assertEquals(runs.stream().sorted().toList(), runs);
    assertTrue(runs.size() <= END / MINUTE + 1, "more than one run a minute: " + runs.size());
  }

  /**
   * Steps all clocks by the same amount: each due time up to the new time is run, except those run
   * before the step.
   */
  @ParameterizedTest
  @MethodSource("steps")
  void runsEachDueTimeAfterStepThatWasNotRunBefore(List<Long> steps) {
    long step = steps.get(0);
    for (int i = 0; i < steps.size(); i++) {
      members.add(new Member("m-" + i));
    }
    advanceTo(STEP_AT);
    long lastDueBeforeStep = runs.get(runs.size() - 1);
    members.forEach(member -> member.wallAhead = step);
    long firstDue = Math.floorDiv(START + STEP_AT + step, MINUTE) * MINUTE;
    advanceTo(END);
    List<Long> expected =
        Stream.iterate(firstDue, due -> due < START + END + step, due -> due + MINUTE)
            .filter(due -> due > lastDueBeforeStep)
            .toList();
    assertEquals(expected, runs.stream().filter(due -> due > lastDueBeforeStep).toList());
  }

  private void advanceTo(long until) {
    for (; now < until; now += 250) {
      members.forEach(Member::tick);
      members.forEach(
          member ->
              assertTrue(
                  now < 1_000 || member.holder.leaseValid((double) now),
                  "the lease ended at " + now));
    }
  }
}
