package ferngrade.experiment;

import ferngrade.faulttest.upgrade.LoadShiftRun;
import ferngrade.faulttest.upgrade.Observations;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import ferngrade.faulttest.upgrade.UpgradeRun;
import java.io.IOException;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Shifts load to a new process of a node while other processes keep the processors busy. */
@Command(
    name = "load-shift",
    description =
        "Upgrades a node while other processes keep the processors busy, and checks that no"
            + " requests are rejected while workers are idle; prints the requests served and"
            + " rejected in each second.",
    mixinStandardHelpOptions = true)
final class FaultTestLoadShiftCommand implements Callable<Integer> {
  private static final double SECOND_MILLIS = 1000;

  @Option(names = "--seeds", paramLabel = "N", description = "The number of seeds; default 1.")
  private int seeds = 1;

  @Option(names = "--from", paramLabel = "SEED", description = "The first seed; default 1.")
  private long from = 1;

  @Option(
      names = "--busy",
      paramLabel = "N",
      description = "The number of busy processes; default 12.")
  private int busy = 12;

  @Option(names = "--verbose", description = "Prints the timeline, including log lines.")
  private boolean verbose;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int failed = 0;
    for (long seed = from; seed < from + seeds; seed++) {
      LoadShiftRun.Result result = LoadShiftRun.run(UpgradeRun.currentProgramCommand(), busy, seed);
      Observations observations = result.observations();
      System.out.println("seed " + seed + ", served: " + bySecond(observations, Outcome.SERVED));
      System.out.println("seed " + seed + ", rejected: " + bySecond(observations, Outcome.REFUSED));
      result.violations().stream()
          .limit(10)
          .forEach(violation -> System.out.println("  " + violation));
      if (verbose) {
        observations.steps().forEach(System.out::println);
      }
      failed += result.violations().isEmpty() ? 0 : 1;
    }
    System.out.printf(Locale.ROOT, "%d passed, %d failed%n", seeds - failed, failed);
    return failed == 0 ? 0 : 1;
  }

  private static String bySecond(Observations observations, Outcome outcome) {
    int[] counts = new int[(int) (observations.now() / SECOND_MILLIS) + 1];
    observations.results().stream()
        .filter(jobResult -> jobResult.outcome() == outcome)
        .forEach(jobResult -> counts[(int) (jobResult.endedAt() / SECOND_MILLIS)]++);
    StringBuilder text = new StringBuilder();
    for (int count : counts) {
      text.append(count).append(' ');
    }
    return text.toString();
  }
}
