package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.util.List;
import java.util.Random;

/**
 * Limits the processes of a node to a fraction of a core: repeatedly stops all of them for up to
 * {@code maxStop} ms and then lets them run.
 */
final class DutyCycle extends BackgroundLoop {
  private static final int MIN_STOP_MILLIS = 20;

  private final UpgradeRun run;
  private final Random random;
  private final double share;
  private final int maxStop;

  /** Creates a duty cycle in which a process runs for {@code share} of the time, 0 to 1. */
  DutyCycle(UpgradeRun run, double share, int maxStop, long seed) {
    super("duty cycle");
    this.run = run;
    this.share = share;
    this.maxStop = maxStop;
    this.random = new Random(seed);
  }

  @Override
  void step() throws InterruptedException {
    int stopMillis = MIN_STOP_MILLIS + random.nextInt(maxStop - MIN_STOP_MILLIS + 1);
    List<ServingProcess> processes = run.alive();
    signal(processes, "STOP");
    Thread.sleep(stopMillis);
    signal(processes, "CONT");
    Thread.sleep((long) (stopMillis * share / (1 - share)));
  }

  private static void signal(List<ServingProcess> processes, String name)
      throws InterruptedException {
    for (ServingProcess process : processes) {
      try {
        process.signal(name);
      } catch (IOException exited) {
        // The process has ended in the meantime.
      }
    }
  }

  @Override
  void onStopped() {
    for (ServingProcess process : run.alive()) {
      try {
        process.signal("CONT");
      } catch (IOException exited) {
        // The process has ended in the meantime.
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
