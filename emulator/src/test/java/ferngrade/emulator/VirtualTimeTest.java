package ferngrade.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against events that run out of order, which would make runs nondeterministic. */
class VirtualTimeTest {
  private record Execution(double at, int order) {}

  @Property(tries = 200, seed = "20261201")
  void runsEventsByTimeAndThenInSchedulingOrder(
      @ForAll @Size(max = 60) List<@IntRange(max = 5) Integer> delays) {
    VirtualTime time = new VirtualTime(10);
    List<Execution> ran = new ArrayList<>();
    for (int i = 0; i < delays.size(); i++) {
      int order = i;
      time.after(
          delays.get(i),
          () -> {
            ran.add(new Execution(time.now(), order));
            // Scheduled by an event for the same time: runs after all events scheduled earlier.
            time.after(0, () -> ran.add(new Execution(time.now(), delays.size() + order)));
          });
    }
    time.run(100);
    for (int i = 1; i < ran.size(); i++) {
      Execution previous = ran.get(i - 1);
      Execution after = ran.get(i);
      assertEquals(
          true,
          previous.at < after.at || (previous.at == after.at && previous.order < after.order),
          previous + " before " + after);
    }
    assertEquals(2 * delays.size(), ran.size());
    assertEquals(100, time.now());
  }

  @Test
  void skipsCancelledTasksAndRejectsNanDelays() {
    VirtualTime time = new VirtualTime(0);
    Scheduler.Handle handle =
        time.after(
            1,
            () -> {
              throw new IllegalStateException("a cancelled task ran");
            });
    handle.cancel();
    time.run(5);
    assertEquals(0, time.eventCount());
    assertThrows(IllegalArgumentException.class, () -> time.after(Double.NaN, () -> {}));
  }
}
