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
 * Wall clocks are stepped while members hold their duties: due times follow the wall clock, each at
 * most once and none in crowds, and no lease rests on it.
 */
class LeasesAcrossClockStepsTest {
  private static final long MINUTE = 60_000;
  private static final long HOUR = 60 * MINUTE;
  private static final long START = 20_000L * 24 * HOUR;
  private static final LeaseHolder.Terms TERMS = new LeaseHolder.Terms(4_000, 0.02);
  private static final RecurringSchedule JOB = new RecurringSchedule("sweep", MINUTE, true, false);
  private static final long STEP_AT = 10 * MINUTE + 7_000;
  private static final long END = 2 * HOUR + 30 * MINUTE;

  private final LeaseTable table = new LeaseTable();
  private final List<Long> put = new ArrayList<>();
  private final List<Member> members = new ArrayList<>();
  private long index;
  private long now;

  /** A process with both its clocks, its leases and its part in the recurring job. */
  private final class Member implements RecurringJobRunner.Actions {
    private final LeaseHolder holder;
    private final RecurringJobRunner performer;
    private long wallAhead;

    Member(String name) {
      holder = new LeaseHolder(name, name, List.of(JOB.shard()), TERMS, this::propose);
      performer = new RecurringJobRunner(JOB, holder, table, this);
    }

    private void propose(Command command) {
      holder.answered((double) now, command, table.apply(++index, command));
    }

    @Override
    public void propose(Command command, Consumer<Object> done, Runnable unknown) {
      done.accept(table.apply(++index, command));
    }

    @Override
    public void put(long due, long epoch) {
      put.add(due);
      performer.came("served");
    }

    long wall() {
      return START + now + wallAhead;
    }

    void tick() {
      holder.tick((double) now, wall(), table);
      performer.look((double) now, wall());
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

  /** Each member's clock is stepped by its figure in the list. */
  @ParameterizedTest
  @MethodSource("steps")
  void noLeaseEndsAndNoDueTimeComesTwiceOrInACrowd(List<Long> steps) {
    steps.forEach(step -> members.add(new Member("m-" + members.size())));
    pass(STEP_AT);
    long sessions = table.sessions().size();
    long epoch = table.slot(JOB.shard()).epoch();
    assertEquals(10, put.size(), "one a minute: " + put);
    for (int i = 0; i < steps.size(); i++) {
      members.get(i).wallAhead = steps.get(i);
    }
    pass(END);
    assertEquals(sessions, table.sessions().size());
    assertEquals(epoch, table.slot(JOB.shard()).epoch(), "nobody else has come to own it");
    assertEquals(put.size(), new HashSet<>(put).size(), "twice: " + put);
    assertEquals(put.stream().sorted().toList(), put);
    assertTrue(put.size() <= END / MINUTE + 1, "more than one a minute: " + put.size());
  }

  /**
   * All clocks step alike: what is due by the new time is put in, but for what was put in before
   * the step.
   */
  @ParameterizedTest
  @MethodSource("steps")
  void everyDueTimeAfterTheStepIsPutInOnceItHasNotBeen(List<Long> steps) {
    long step = steps.get(0);
    for (int i = 0; i < steps.size(); i++) {
      members.add(new Member("m-" + i));
    }
    pass(STEP_AT);
    long before = put.get(put.size() - 1);
    members.forEach(each -> each.wallAhead = step);
    long first = Math.floorDiv(START + STEP_AT + step, MINUTE) * MINUTE;
    pass(END);
    List<Long> promised =
        Stream.iterate(first, due -> due < START + END + step, due -> due + MINUTE)
            .filter(due -> due > before)
            .toList();
    assertEquals(promised, put.stream().filter(due -> due > before).toList());
  }

  private void pass(long until) {
    for (; now < until; now += 250) {
      members.forEach(Member::tick);
      members.forEach(
          each ->
              assertTrue(
                  now < 1_000 || each.holder.holds((double) now), "its lease ended at " + now));
    }
  }
}
