package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * What an owner does about due times when the log's answers are lost, late, or ahead of its own
 * table.
 */
class RecurringJobRunnerTest {
  private static final long START = 1_700_000_000_000L;
  private static final RecurringSchedule JOB = new RecurringSchedule("sweep", 100, true, false);

  private final LeaseTable table = new LeaseTable();
  private final List<Command> proposed = new ArrayList<>();
  private final List<Consumer<Object>> done = new ArrayList<>();
  private final List<Runnable> unknown = new ArrayList<>();
  private final List<Long> put = new ArrayList<>();
  private final LeaseHolder holder =
      new LeaseHolder(
          "a", "a", List.of(JOB.shard()), new LeaseHolder.Terms(1_000, 0.02), command -> {});
  private final RecurringJobRunner performer =
      new RecurringJobRunner(
          JOB,
          holder,
          table,
          new RecurringJobRunner.Actions() {
            @Override
            public void propose(Command command, Consumer<Object> isDone, Runnable isUnknown) {
              proposed.add(command);
              done.add(isDone);
              unknown.add(isUnknown);
            }

            @Override
            public void put(long due, long epoch) {
              put.add(due);
            }
          });
  private long index;

  RecurringJobRunnerTest() {
    Command open = new Command.Open("a", "a-0", START, List.of(JOB.shard()));
    holder.answered(0, open, table.apply(++index, open));
    // The first due time of all is only noted.
    performer.look(1, START);
    answer(0, apply(0));
    answer(1, apply(1));
    assertEquals(List.of(), put);
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
  void whatWasBegunWithoutAnAnswerIsPutInOnceAndItsResultToldUntilTheLogHasIt() {
    performer.look(2, START + 100);
    unknown.get(0).run();
    apply(0);
    performer.look(3, START + 150);
    assertEquals(List.of(START + 100), put, "the table shows that it was begun");
    performer.came("served");
    unknown.get(1).run();
    performer.look(4, START + 160);
    assertEquals(new Command.Finish(JOB.shard(), 1, START + 100, "served"), proposed.get(2));
    answer(2, apply(2));
    assertEquals("served", table.slot(JOB.shard()).result());
    performer.look(5, START + 199);
    assertEquals(1, put.size());
  }

  @Test
  void aTableThatLagsBehindTheAnswersBringsNothingBack() {
    LeaseTable ahead = new LeaseTable();
    ahead.restore(index, table.snapshot());
    long at = index;
    // The leader has applied two due times from begin to end; this member's table shows none of it
    // yet.
    for (long due = START + 100; due <= START + 200; due += 100) {
      performer.look(2, due);
      answer(done.size() - 1, ahead.apply(++at, proposed.get(proposed.size() - 1)));
      performer.came("served");
      answer(done.size() - 1, ahead.apply(++at, proposed.get(proposed.size() - 1)));
      if (due == START + 100) {
        table.apply(++index, proposed.get(0));
        table.apply(++index, proposed.get(1));
      }
    }
    assertEquals(2, put.size());
    table.restore(index, table.snapshot());
    performer.look(3, START + 250);
    assertEquals(2, put.size(), "what the table still shows is over");
    assertTrue(proposed.size() == 4, "nor is anything proposed: " + proposed);
  }

  @Test
  void whatWasCertainlyNotPutInIsTriedAgain() {
    performer.look(2, START + 100);
    answer(0, apply(0));
    performer.notPut();
    performer.look(3, START + 120);
    assertEquals(List.of(START + 100, START + 100), put);
  }

  @Test
  void oneDueTimeIsSettledBeforeTheNextIsBegun() {
    performer.look(2, START + 100);
    answer(0, apply(0));
    performer.look(3, START + 200);
    assertEquals(1, proposed.size(), "it is still being put in");
  }
}
