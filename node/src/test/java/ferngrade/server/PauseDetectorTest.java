package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** When a signal may have come that was noticed behind a gap in the process's own time. */
public class PauseDetectorTest {
  private double now;
  private Timers timers;
  private PauseDetector pauses;

  @BeforeMethod
  public void startAtZero() {
    now = 0;
    Clock clock = () -> now;
    timers = new Timers(clock, (millis, run) -> {});
    pauses = new PauseDetector(clock, timers);
    pauses.start();
  }

  /** The process runs until then, its timers on time. */
  private void runUntil(double end) {
    while (now + 10 <= end) {
      now += 10;
      timers.run();
    }
    now = end;
  }

  @Test
  public void signalToAProcessThatRanCameWhenItWasNoticed() {
    runUntil(1234);
    assertEquals(pauses.earliestSignal(1234), 1234.0);
  }

  @Test
  public void signalBehindAGapMayHaveComeAtItsBeginning() {
    runUntil(1000);
    now = 1500;
    timers.run();
    now = 1510;
    assertEquals(pauses.earliestSignal(1510), 1000.0);
  }

  @Test
  public void gapThatNoTimerHasShownYetCounts() {
    runUntil(1000);
    now = 1490;
    assertEquals(pauses.earliestSignal(1490), 1000.0);
  }

  @Test
  public void gapLongBeforeTheSignalDoesNotCount() {
    runUntil(1000);
    now = 1500;
    runUntil(2500);
    assertEquals(pauses.earliestSignal(2500), 2500.0);
  }

  @Test
  public void gapsThatFollowEachOtherAreOne() {
    runUntil(1000);
    now = 1300;
    timers.run();
    now = 1600;
    timers.run();
    assertEquals(pauses.earliestSignal(1650), 1000.0);
  }
}
