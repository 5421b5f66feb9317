package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Checks the earliest time of a signal that is detected after a pause of the process. */
public class PauseDetectorTest {
  private double now;
  private Timers timers;
  private PauseDetector detector;

  @BeforeMethod
  public void startDetector() {
    now = 0;
    Clock clock = () -> now;
    timers = new Timers(clock, (delayMillis, task) -> {});
    detector = new PauseDetector(clock, timers);
    detector.start();
  }

  /** Advances the clock to {@code end} and runs the timers on time. */
  private void runUntil(double end) {
    while (now + 10 <= end) {
      now += 10;
      timers.run();
    }
    now = end;
  }

  @Test
  public void signalWithoutGapArrivedWhenDetected() {
    runUntil(1234);
    assertEquals(detector.earliestSignal(1234), 1234.0);
  }

  @Test
  public void signalAfterGapMayHaveArrivedAtItsBeginning() {
    runUntil(1000);
    now = 1500;
    timers.run();
    now = 1510;
    assertEquals(detector.earliestSignal(1510), 1000.0);
  }

  @Test
  public void countsGapBeforeTheNextTimerRun() {
    runUntil(1000);
    now = 1490;
    assertEquals(detector.earliestSignal(1490), 1000.0);
  }

  @Test
  public void ignoresGapLongBeforeTheSignal() {
    runUntil(1000);
    now = 1500;
    runUntil(2500);
    assertEquals(detector.earliestSignal(2500), 2500.0);
  }

  @Test
  public void mergesConsecutiveGaps() {
    runUntil(1000);
    now = 1300;
    timers.run();
    now = 1600;
    timers.run();
    assertEquals(detector.earliestSignal(1650), 1000.0);
  }
}
