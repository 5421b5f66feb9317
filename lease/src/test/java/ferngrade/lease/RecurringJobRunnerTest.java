package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Guards against jobs that are submitted twice or never when the log's answers are lost, late, or
 * ahead of the owner's table.
 */
class RecurringJobRunnerTest {
  private static final long START = 1_700_000_000_000L;
  private static final RecurringSchedule JOB = new RecurringSchedule("sweep", 100, true, false);

  private final LeaseTable table = new LeaseTable();
  private final List<Command> proposed = new ArrayList<>();
  private final List<Consumer<Object>> done = new ArrayList<>();
  private final List<Runnable> unknown = new ArrayList<>();
  private final List<Long> submitted = new ArrayList<>();
  private final LeaseHolder holder =
      new LeaseHolder(
          "a", "a", List.of(JOB.shard()), new LeaseHolder.Timing(1_000, 0.02), command -> {});
  private final RecurringJobRunner runner =
      new RecurringJobRunner(
          JOB,
          holder,
          table,
          new RecurringJobRunner.Actions() {
            @Override
            public void propose(Command command, Consumer<Object> onDone, Runnable onUnknown) {
              proposed.add(command);
              done.add(onDone);
              unknown.add(onUnknown);
            }

            @Override
            public void submit(long due, long epoch) {
              submitted.add(due);
            }
          });
  private long index;

  RecurringJobRunnerTest() {
    Command open = new Command.Open("a", "a-0", START, List.of(JOB.shard()));
    holder.commandAnswered(0, open, table.apply(++index, open));
    // The first due time of a job is skipped.
    runner.tick(1, START);
    answer(0, apply(0));
    answer(1, apply(1));
    assertEquals(List.of(), submitted);
    proposed.clear();
    done.clear();
    unknown.clear();
  }

  private Object apply(int number) {
    return table.apply(++index, proposed.get(number));
  }

  private void answer(int number, Object result) {
    done.get(number).accept(result);
  }

  @Test
  void submitsOnceAfterLostAnswerAndRepeatsResultUntilRecorded() {
    runner.tick(2, START + 100);
    unknown.get(0).run();
    apply(0);
    runner.tick(3, START + 150);
    assertEquals(List.of(START + 100), submitted, "the table shows that the due time was begun");
    runner.resultReceived("served");
    unknown.get(1).run();
    runner.tick(4, START + 160);
    assertEquals(new Command.Finish(JOB.shard(), 1, START + 100, "served"), proposed.get(2));
    answer(2, apply(2));
    assertEquals("served", table.slot(JOB.shard()).result());
    runner.tick(5, START + 199);
    assertEquals(1, submitted.size());
  }

  @Test
  void laggingTableCausesNoSecondSubmission() {
    LeaseTable leaderTable = new LeaseTable();
    leaderTable.restore(index, table.snapshot());
    long leaderIndex = index;
    // The leader has applied two due times from begin to result; this member's table shows neither
    // yet.
    for (long due = START + 100; due <= START + 200; due += 100) {
      runner.tick(2, due);
      answer(done.size() - 1, leaderTable.apply(++leaderIndex, proposed.get(proposed.size() - 1)));
      runner.resultReceived("served");
      answer(done.size() - 1, leaderTable.apply(++leaderIndex, proposed.get(proposed.size() - 1)));
      if (due == START + 100) {
        table.apply(++index, proposed.get(0));
        table.apply(++index, proposed.get(1));
      }
    }
    assertEquals(2, submitted.size());
    table.restore(index, table.snapshot());
    runner.tick(3, START + 250);
    assertEquals(2, submitted.size(), "the table still shows an outdated state");
    assertTrue(proposed.size() == 4, "no command must be proposed: " + proposed);
  }

  @Test
  void retriesJobThatWasCertainlyNotSubmitted() {
    runner.tick(2, START + 100);
    answer(0, apply(0));
    runner.notSubmitted();
    runner.tick(3, START + 120);
    assertEquals(List.of(START + 100, START + 100), submitted);
  }

  @Test
  void finishesOneDueTimeBeforeBeginningTheNext() {
    runner.tick(2, START + 100);
    answer(0, apply(0));
    runner.tick(3, START + 200);
    assertEquals(1, proposed.size(), "the previous due time is still pending");
  }
}
