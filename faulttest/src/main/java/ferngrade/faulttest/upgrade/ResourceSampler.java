package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.upgrade.Observations.ResourceSample;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Periodically measures the memory and descriptors that all processes of the node hold together,
 * from the proc file system.
 */
final class ResourceSampler extends BackgroundLoop {
  private static final long INTERVAL_MILLIS = 100;
  private static final String PROPORTIONAL_SET_SIZE = "Pss:";

  private final UpgradeRun run;

  ResourceSampler(UpgradeRun run) {
    super("resources");
    this.run = run;
  }

  @Override
  void step() throws InterruptedException {
    List<ServingProcess> alive = run.alive();
    long memory = 0;
    int descriptors = 0;
    for (ServingProcess process : alive) {
      memory += memory(process.pid());
      descriptors += descriptors(process.pid());
    }
    run.observations()
        .add(new ResourceSample(run.observations().now(), alive.size(), memory, descriptors));
    Thread.sleep(INTERVAL_MILLIS);
  }

  /**
   * Returns the memory of a process in bytes, including its proportional share of shared pages; 0
   * if it has ended.
   */
  private static long memory(long pid) {
    try (Stream<String> lines = Files.lines(Path.of("/proc/" + pid + "/smaps_rollup"))) {
      return lines
          .filter(line -> line.startsWith(PROPORTIONAL_SET_SIZE))
          .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")) * 1024)
          .sum();
    } catch (IOException | UncheckedIOException exited) {
      return 0;
    }
  }

  private static int descriptors(long pid) {
    try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
      return (int) open.count();
    } catch (IOException | UncheckedIOException exited) {
      return 0;
    }
  }
}
