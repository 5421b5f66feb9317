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

class VirtualTimeTest {
  private record Ran(double at, int order) {}

  @Property(tries = 200, seed = "20261201")
  void eventsRunByTimeAndAtOneInstantInTheOrderOfTheCalls(
      @ForAll @Size(max = 60) List<@IntRange(max = 5) Integer> delays) {
    VirtualTime time = new VirtualTime(10);
    List<Ran> ran = new ArrayList<>();
    for (int i = 0; i < delays.size(); i++) {
      int order = i;
      time.after(
          delays.get(i),
          () -> {
            ran.add(new Ran(time.now(), order));
            // Put off for the same instant from within: after all that was put off for it before.
            time.after(0, () -> ran.add(new Ran(time.now(), delays.size() + order)));
          });
    }
    time.run(100);
    for (int i = 1; i < ran.size(); i++) {
      Ran before = ran.get(i - 1);
      Ran after = ran.get(i);
      assertEquals(
          true,
          before.at < after.at || (before.at == after.at && before.order < after.order),
          before + " before " + after);
    }
    assertEquals(2 * delays.size(), ran.size());
    assertEquals(100, time.now());
  }

  @Test
  void whatIsCalledOffDoesNotRunAndTimeThatIsNoNumberIsRefused() {
    VirtualTime time = new VirtualTime(0);
    Scheduler.Handle handle =
        time.after(
            1,
            () -> {
              throw new IllegalStateException("called off");
            });
    handle.cancel();
    time.run(5);
    assertEquals(0, time.ran());
    assertThrows(IllegalArgumentException.class, () -> time.after(Double.NaN, () -> {}));
  }
}
