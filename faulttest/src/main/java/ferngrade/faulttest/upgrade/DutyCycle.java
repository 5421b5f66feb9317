package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.util.List;
import java.util.Random;

/**
 * Holds the processes of a node to a fraction of a core: stops each for up to {@code longest} ms
 * and lets it run in between, all the time.
 */
final class DutyCycle extends BackgroundLoop {
  private static final int SHORTEST = 20;

  private final UpgradeRun run;
  private final Random random;
  private final double share;
  private final int longest;

  /** {@code share}: the part of the time that a process runs, 0 to 1. */
  DutyCycle(UpgradeRun run, double share, int longest, long seed) {
    super("duty cycle");
    this.run = run;
    this.share = share;
    this.longest = longest;
    this.random = new Random(seed);
  }

  @Override
  void step() throws InterruptedException {
    int stopped = SHORTEST + random.nextInt(longest - SHORTEST + 1);
    List<ServingProcess> processes = run.alive();
    signal(processes, "STOP");
    Thread.sleep(stopped);
    signal(processes, "CONT");
    Thread.sleep((long) (stopped * share / (1 - share)));
  }

  private static void signal(List<ServingProcess> processes, String name)
      throws InterruptedException {
    for (ServingProcess each : processes) {
      try {
        each.signal(name);
      } catch (IOException ended) {
        // It has ended meanwhile.
      }
    }
  }

  @Override
  void ended() {
    for (ServingProcess each : run.alive()) {
      try {
        each.signal("CONT");
      } catch (IOException ended) {
        // It has ended meanwhile.
      } catch (InterruptedException ending) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
