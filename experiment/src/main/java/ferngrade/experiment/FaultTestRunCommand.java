package ferngrade.experiment;

import ferngrade.cli.Cli;
import ferngrade.faulttest.History.Event;
import ferngrade.faulttest.HistoryChecker;
import ferngrade.faulttest.ModelChecker;
import ferngrade.faulttest.Mutant;
import ferngrade.faulttest.TrialFile;
import ferngrade.faulttest.TrialRun;
import ferngrade.faulttest.Violation;
import ferngrade.faulttest.VirtualFleet;
import ferngrade.faulttest.VirtualSwarm;
import ferngrade.toml.FileException;
import ferngrade.toml.Section;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Runs a fault test trial with several processes, or checks the same state machines in virtual time
 * over many seeds or by exhaustive exploration of a small model.
 */
@Command(
    name = "run",
    description =
        "Runs a trial: members of a fleet as processes, with injected faults."
            + " Exit code 0: all invariants held; 1: an invariant was violated; 2: the file cannot"
            + " be used.",
    mixinStandardHelpOptions = true)
final class FaultTestRunCommand implements Callable<Integer> {
  private static final int VIOLATED = 1;

  @Parameters(
      arity = "0..1",
      paramLabel = "NAME|FILE",
      description = "The name of a trial that --list prints, or a file.")
  private String nameOrFile;

  @Option(names = "--list", description = "Lists the trials that are included in the program.")
  private boolean list;

  @Option(names = "--seed", paramLabel = "N")
  private long seed = 1;

  @Option(
      names = "--mutant",
      paramLabel = "NAME",
      description = "Injects this defect into the program: ${COMPLETION-CANDIDATES}.")
  private Mutant mutant = Mutant.NONE;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "The folder for files, history and chart; by default a new temporary folder.")
  private Path out;

  @Option(
      names = "--virtual",
      paramLabel = "SEEDS",
      description = "The number of seeds to run in virtual time, starting at --seed.")
  private long virtualSeeds;

  @Option(
      names = "--swarm",
      paramLabel = "SEEDS",
      description = "The number of seeds to run of membership in virtual time, starting at --seed.")
  private long swarmSeeds;

  @Option(
      names = "--small",
      paramLabel = "STEPS",
      description = "Explores all states of a small model within this number of steps.")
  private int modelSteps;

  @Option(
      names = "--duties",
      paramLabel = "N",
      description = "The number of shards in the model; default 1.")
  private int shards = 1;

  @Option(
      names = "--calm",
      description =
          "In the model, no member fails and no message is lost; messages are only delayed.")
  private boolean faultFree;

  @Option(
      names = "--members",
      paramLabel = "N",
      description = "The number of members in virtual time and in the model; default 3.")
  private int members = 3;

  @Override
  public Integer call() throws IOException, InterruptedException {
    try {
      if (list) {
        for (String name : TrialFile.SHIPPED) {
          System.out.printf("%-24s %s%n", name, TrialFile.shipped(name).title());
        }
        return 0;
      }
      if (virtualSeeds > 0) {
        return runVirtualFleet();
      }
      if (swarmSeeds > 0) {
        return runVirtualSwarm();
      }
      if (modelSteps > 0) {
        return checkModel();
      }
      if (nameOrFile == null) {
        System.err.println(
            "ferngrade: the name or file of a trial is missing; --list prints the names");
        return Cli.BAD_CONFIG;
      }
      TrialFile shipped = TrialFile.shipped(nameOrFile);
      return runProcesses(
          shipped != null
              ? shipped
              : TrialFile.read(nameOrFile, Section.readText(Path.of(nameOrFile))));
    } catch (FileException e) {
      System.err.println("ferngrade: " + e.getMessage());
      return Cli.BAD_CONFIG;
    }
  }

  private int runProcesses(TrialFile trial) throws IOException, InterruptedException {
    Path folder = out != null ? out : Files.createTempDirectory("trial-" + trial.name() + "-");
    List<String> program =
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            System.getProperty("java.class.path"),
            "ferngrade.Main");
    TrialRun.Result result = new TrialRun(trial, seed, mutant, program, folder).run();
    List<Event> events = result.history().events();
    for (Event event : events) {
      if (event.who().equals("harness")
          || List.of("gained", "lost", "ended", "refused").contains(event.what())) {
        System.out.printf(
            "%8.0f ms  %-8s %-12s %s%n", event.at(), event.who(), event.what(), details(event));
      }
    }
    writeChart(events, trial, folder.resolve("timeline"));
    Map<String, Integer> counts = new TreeMap<>();
    events.stream()
        .filter(event -> event.who().equals("taker"))
        .forEach(event -> counts.merge(event.what(), 1, Integer::sum));
    System.out.printf(
        "jobs by outcome at their receiver %s; longest gap between jobs: once %.0f ms, keyed %.0f"
            + " ms%n",
        counts,
        HistoryChecker.longestGap(events, "once/0"),
        HistoryChecker.longestGap(events, "keyed/0"));
    result.violations().forEach(violation -> System.out.println("BROKEN " + violation));
    System.out.printf(
        "%s: %s; files in %s; repeat with --seed %d%n",
        trial.name(), result.violations().isEmpty() ? "held" : "broken", folder, seed);
    return result.violations().isEmpty() ? 0 : VIOLATED;
  }

  private static String details(Event event) {
    Map<String, String> shownDetails = new TreeMap<>(event.details());
    shownDetails.remove("line");
    return shownDetails.toString();
  }

  /**
   * Writes a chart of epochs over time: the effects of each shard that were accepted and rejected.
   */
  private static void writeChart(List<Event> events, TrialFile trial, Path file)
      throws IOException {
    XYChart chart =
        new XYChartBuilder()
            .width(900)
            .height(400)
            .title(trial.title())
            .xAxisTitle("s")
            .yAxisTitle("epoch")
            .build();
    chart
        .getStyler()
        .setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter)
        .setMarkerSize(6);
    for (String shard : List.of("once/0", "keyed/0")) {
      for (String eventType : List.of("landed", "refused")) {
        List<Event> matching =
            events.stream()
                .filter(
                    event ->
                        event.who().equals("taker")
                            && event.what().equals(eventType)
                            && event.detail("shard").equals(shard))
                .toList();
        if (!matching.isEmpty()) {
          chart.addSeries(
              shard + " " + eventType,
              matching.stream().map(event -> event.at() / 1000).toList(),
              matching.stream().map(event -> Double.valueOf(event.detail("epoch"))).toList());
        }
      }
    }
    if (!chart.getSeriesMap().isEmpty()) {
      BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private int runVirtualFleet() {
    AtomicLong effects = new AtomicLong();
    AtomicLong rejected = new AtomicLong();
    Map<Long, List<Violation>> violatingSeeds = new TreeMap<>();
    LongStream.range(seed, seed + virtualSeeds)
        .parallel()
        .forEach(
            trialSeed -> {
              VirtualFleet.Result result = VirtualFleet.run(members, trialSeed, mutant);
              effects.addAndGet(result.effects());
              rejected.addAndGet(result.rejected());
              if (!result.violations().isEmpty()) {
                synchronized (violatingSeeds) {
                  violatingSeeds.put(trialSeed, result.violations());
                }
              }
            });
    Map<String, Integer> seedsByRule = new TreeMap<>();
    violatingSeeds
        .values()
        .forEach(
            violations ->
                violations.stream()
                    .map(Violation::rule)
                    .distinct()
                    .forEach(rule -> seedsByRule.merge(rule, 1, Integer::sum)));
    System.out.printf(
        "%d seeds of %d members, mutant %s: %d broken %s; %d effects accepted, %d rejected%n",
        virtualSeeds,
        members,
        mutant.name().toLowerCase(Locale.ROOT),
        violatingSeeds.size(),
        seedsByRule,
        effects.get(),
        rejected.get());
    violatingSeeds.entrySet().stream()
        .limit(5)
        .forEach(
            entry ->
                System.out.println(
                    "seed "
                        + entry.getKey()
                        + ": "
                        + Arrays.toString(entry.getValue().stream().limit(3).toArray())));
    return violatingSeeds.isEmpty() ? 0 : VIOLATED;
  }

  private int runVirtualSwarm() {
    AtomicLong rejected = new AtomicLong();
    Map<Long, List<Violation>> violatingSeeds = new TreeMap<>();
    LongStream.range(seed, seed + swarmSeeds)
        .parallel()
        .forEach(
            trialSeed -> {
              VirtualSwarm.Result result = VirtualSwarm.run(members, trialSeed, mutant);
              rejected.addAndGet(result.rejected());
              if (!result.violations().isEmpty()) {
                synchronized (violatingSeeds) {
                  violatingSeeds.put(trialSeed, result.violations());
                }
              }
            });
    System.out.printf(
        "%d seeds of %d members, mutant %s: %d broken; %d replayed or forged datagrams rejected%n",
        swarmSeeds,
        members,
        mutant.name().toLowerCase(Locale.ROOT),
        violatingSeeds.size(),
        rejected.get());
    violatingSeeds.entrySet().stream()
        .limit(5)
        .forEach(
            entry -> System.out.println("seed " + entry.getKey() + ": " + entry.getValue().get(0)));
    return violatingSeeds.isEmpty() ? 0 : VIOLATED;
  }

  private int checkModel() {
    ModelChecker.Result result =
        ModelChecker.explore(members, shards, modelSteps, faultFree, mutant);
    System.out.printf(
        "%d members, %d shards, mutant %s: %d states within %d steps, %s%n",
        members,
        shards,
        mutant.name().toLowerCase(Locale.ROOT),
        result.states(),
        result.depth(),
        result.violatedRule() == null
            ? "none broken"
            : "BROKEN " + result.violatedRule() + " by " + Arrays.toString(result.steps()));
    return result.violatedRule() == null ? 0 : VIOLATED;
  }
}
