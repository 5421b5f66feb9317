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

/** Runs timers with a clock and a waker that the test controls. */
class TimersTest {
  private record WakeUp(double at, Runnable run) {}

  private final PriorityQueue<WakeUp> wakeUps =
      new PriorityQueue<>(Comparator.comparingDouble(WakeUp::at));
  private double now;
  private long wakeUpCount;
  private final Timers timers =
      new Timers(() -> now, (millis, run) -> wakeUps.add(new WakeUp(now + millis, run)));

  private void runUntil(double end) {
    while (!wakeUps.isEmpty() && wakeUps.peek().at() <= end) {
      WakeUp wakeUp = wakeUps.poll();
      now = wakeUp.at();
      wakeUpCount++;
      wakeUp.run().run();
    }
    now = end;
  }

  @Test
  void wakeUpsDoNotGrowWithTimersThatAreDueFirst() {
    int iterations = 20_000;
    for (int i = 0; i < iterations; i++) {
      timers.after(2000, () -> {});
      // Due before all other timers, so each of these timers requests its own wake-up.
      timers.after(1, () -> {});
      runUntil(now + 10);
    }
    assertTrue(wakeUpCount <= 3L * iterations, "number of wake-ups: " + wakeUpCount);
    assertTrue(wakeUps.size() <= 2, "wake-ups that are still scheduled: " + wakeUps.size());
  }

  @Test
  void timersRunAtDueTimeInOrderUnlessCancelled() {
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
  void throwingTaskDoesNotCancelWakeUpOfOthers() {
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
