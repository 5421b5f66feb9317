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

/** Shifts load to a new process while the machine lacks processor time. */
@Command(
    name = "load-shift",
    description =
        "Upgrades a node beside busy processes and checks that no requests are rejected while its"
            + " workers are idle; prints what was served and rejected in each second.",
    mixinStandardHelpOptions = true)
final class FaultTestLoadShiftCommand implements Callable<Integer> {
  private static final double SECOND = 1000;

  @Option(names = "--seeds", paramLabel = "N", description = "How many plays; 1 if left out.")
  private int seeds = 1;

  @Option(names = "--from", paramLabel = "SEED", description = "The first seed; 1 if left out.")
  private long from = 1;

  @Option(names = "--busy", paramLabel = "N", description = "Busy processes; 12 if left out.")
  private int busy = 12;

  @Option(names = "--verbose", description = "Prints the timeline, log lines included.")
  private boolean verbose;

  @Override
  public Integer call() throws IOException, InterruptedException {
    int failed = 0;
    for (long seed = from; seed < from + seeds; seed++) {
      LoadShiftRun.Result result = LoadShiftRun.play(UpgradeRun.thisProgram(), busy, seed);
      Observations seen = result.observations();
      System.out.println("seed " + seed + ", served: " + bySecond(seen, Outcome.SERVED));
      System.out.println("seed " + seed + ", rejected: " + bySecond(seen, Outcome.REFUSED));
      result.violations().stream().limit(10).forEach(each -> System.out.println("  " + each));
      if (verbose) {
        seen.steps().forEach(System.out::println);
      }
      failed += result.violations().isEmpty() ? 0 : 1;
    }
    System.out.printf(Locale.ROOT, "%d passed, %d failed%n", seeds - failed, failed);
    return failed == 0 ? 0 : 1;
  }

  private static String bySecond(Observations seen, Outcome outcome) {
    int[] counts = new int[(int) (seen.now() / SECOND) + 1];
    seen.results().stream()
        .filter(each -> each.outcome() == outcome)
        .forEach(each -> counts[(int) (each.endedAt() / SECOND)]++);
    StringBuilder text = new StringBuilder();
    for (int count : counts) {
      text.append(count).append(' ');
    }
    return text.toString();
  }
}
