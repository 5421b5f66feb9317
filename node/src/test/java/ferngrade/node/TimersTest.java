package ferngrade.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Timers on a clock and a waker that the test sets. */
class TimersTest {
  private record Wake(double at, Runnable run) {}

  private final PriorityQueue<Wake> wakes =
      new PriorityQueue<>(Comparator.comparingDouble(Wake::at));
  private double now;
  private long woken;
  private final Timers timers =
      new Timers(() -> now, (millis, run) -> wakes.add(new Wake(now + millis, run)));

  private void runUntil(double end) {
    while (!wakes.isEmpty() && wakes.peek().at() <= end) {
      Wake wake = wakes.poll();
      now = wake.at();
      woken++;
      wake.run().run();
    }
    now = end;
  }

  @Test
  void wakeUpsDoNotGrowWithTimersThatComeFirst() {
    int set = 20_000;
    for (int i = 0; i < set; i++) {
      timers.after(2000, () -> {});
      // Due before everything else: each asks for a wake-up of its own.
      timers.after(1, () -> {});
      runUntil(now + 10);
    }
    assertTrue(woken <= 3L * set, "woken " + woken);
    assertTrue(wakes.size() <= 2, "wake-ups left over: " + wakes.size());
  }

  @Test
  void everyTimerRunsInItsTimeAndOrderUnlessCalledOff() {
    SplittableRandom random = new SplittableRandom(7);
    List<Double> ran = new ArrayList<>();
    List<Double> due = new ArrayList<>();
    for (int i = 0; i < 5000; i++) {
      double at = now + random.nextInt(300);
      Timers.Timer timer =
          timers.after(
              at - now,
              () -> {
                assertEquals(at, now);
                ran.add(at);
              });
      if (random.nextInt(4) == 0) {
        timer.cancel();
      } else {
        due.add(at);
      }
      runUntil(now + random.nextInt(5));
    }
    runUntil(now + 1000);
    due.sort(null);
    assertEquals(due, ran);
  }

  @Test
  void taskThatThrowsLeavesTheOthersTheirWakeUp() {
    List<String> ran = new ArrayList<>();
    timers.after(
        1,
        () -> {
          throw new IllegalStateException("broken task");
        });
    timers.after(2, () -> ran.add("next"));
    assertThrows(IllegalStateException.class, () -> runUntil(1));
    runUntil(10);
    assertEquals(List.of("next"), ran);
  }
}
