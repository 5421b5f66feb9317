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
 * Plays a trial of several processes, or the same state machines over many seeds in virtual time.
 */
@Command(
    name = "run",
    description =
        "Plays a trial: members of a fleet as processes, with faults between them."
            + " Exit code 0: it held; 1: something was broken; 2: the file cannot be used.",
    mixinStandardHelpOptions = true)
final class FaultTestRunCommand implements Callable<Integer> {
  private static final int BROKEN = 1;

  @Parameters(
      arity = "0..1",
      paramLabel = "NAME|FILE",
      description = "A trial that --list names, or a file.")
  private String asked;

  @Option(names = "--list", description = "Lists the trials that come with the program.")
  private boolean list;

  @Option(names = "--seed", paramLabel = "N")
  private long seed = 1;

  @Option(
      names = "--mutant",
      paramLabel = "NAME",
      description = "Breaks the program on purpose: ${COMPLETION-CANDIDATES}.")
  private Mutant mutant = Mutant.NONE;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      description = "Files, history and chart; a new folder if left out.")
  private Path out;

  @Option(
      names = "--virtual",
      paramLabel = "SEEDS",
      description = "So many seeds in virtual time, from --seed on.")
  private long virtual;

  @Option(
      names = "--swarm",
      paramLabel = "SEEDS",
      description = "So many seeds of membership in virtual time.")
  private long swarm;

  @Option(
      names = "--small",
      paramLabel = "STEPS",
      description = "All that can happen within so many steps to a few members.")
  private int small;

  @Option(names = "--duties", paramLabel = "N", description = "Duties in the small; 1 if left out.")
  private int duties = 1;

  @Option(
      names = "--calm",
      description = "In the small, nobody dies and nothing is lost, only late.")
  private boolean calm;

  @Option(
      names = "--members",
      paramLabel = "N",
      description = "Members in virtual time; 3 if left out.")
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
      if (virtual > 0) {
        return virtual();
      }
      if (swarm > 0) {
        return swarm();
      }
      if (small > 0) {
        return small();
      }
      if (asked == null) {
        System.err.println("ferngrade: a trial's name or file is missing; --list names some");
        return Cli.BAD_CONFIG;
      }
      TrialFile shipped = TrialFile.shipped(asked);
      return processes(
          shipped != null ? shipped : TrialFile.read(asked, Section.text(Path.of(asked))));
    } catch (FileException bad) {
      System.err.println("ferngrade: " + bad.getMessage());
      return Cli.BAD_CONFIG;
    }
  }

  private int processes(TrialFile trial) throws IOException, InterruptedException {
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
    for (Event each : events) {
      if (each.who().equals("harness")
          || List.of("gained", "lost", "ended", "refused").contains(each.what())) {
        System.out.printf(
            "%8.0f ms  %-8s %-12s %s%n", each.at(), each.who(), each.what(), shown(each));
      }
    }
    chart(events, trial, folder.resolve("timeline"));
    Map<String, Integer> counts = new TreeMap<>();
    events.stream()
        .filter(each -> each.who().equals("taker"))
        .forEach(each -> counts.merge(each.what(), 1, Integer::sum));
    System.out.printf(
        "jobs at their taker %s; longest time without one: once %.0f ms, keyed %.0f ms%n",
        counts,
        HistoryChecker.longestGap(events, "once/0"),
        HistoryChecker.longestGap(events, "keyed/0"));
    result.breaches().forEach(each -> System.out.println("BROKEN " + each));
    System.out.printf(
        "%s: %s; files in %s; again with --seed %d%n",
        trial.name(), result.breaches().isEmpty() ? "held" : "broken", folder, seed);
    return result.breaches().isEmpty() ? 0 : BROKEN;
  }

  private static String shown(Event event) {
    Map<String, String> details = new TreeMap<>(event.details());
    details.remove("line");
    return details.toString();
  }

  /** Epochs over time: what landed of each job, and what was refused. */
  private static void chart(List<Event> events, TrialFile trial, Path file) throws IOException {
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
      for (String what : List.of("landed", "refused")) {
        List<Event> some =
            events.stream()
                .filter(
                    each ->
                        each.who().equals("taker")
                            && each.what().equals(what)
                            && each.detail("shard").equals(shard))
                .toList();
        if (!some.isEmpty()) {
          chart.addSeries(
              shard + " " + what,
              some.stream().map(each -> each.at() / 1000).toList(),
              some.stream().map(each -> Double.valueOf(each.detail("epoch"))).toList());
        }
      }
    }
    if (!chart.getSeriesMap().isEmpty()) {
      BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
  }

  private int virtual() {
    AtomicLong effects = new AtomicLong();
    AtomicLong refused = new AtomicLong();
    Map<Long, List<Violation>> broken = new TreeMap<>();
    LongStream.range(seed, seed + virtual)
        .parallel()
        .forEach(
            each -> {
              VirtualFleet.Result result = VirtualFleet.play(members, each, mutant);
              effects.addAndGet(result.effects());
              refused.addAndGet(result.refused());
              if (!result.breaches().isEmpty()) {
                synchronized (broken) {
                  broken.put(each, result.breaches());
                }
              }
            });
    Map<String, Integer> rules = new TreeMap<>();
    broken
        .values()
        .forEach(
            each ->
                each.stream()
                    .map(Violation::rule)
                    .distinct()
                    .forEach(rule -> rules.merge(rule, 1, Integer::sum)));
    System.out.printf(
        "%d seeds of %d members, mutant %s: %d broken %s; %d effects landed, %d were refused%n",
        virtual,
        members,
        mutant.name().toLowerCase(Locale.ROOT),
        broken.size(),
        rules,
        effects.get(),
        refused.get());
    broken.entrySet().stream()
        .limit(5)
        .forEach(
            each ->
                System.out.println(
                    "seed "
                        + each.getKey()
                        + ": "
                        + Arrays.toString(each.getValue().stream().limit(3).toArray())));
    return broken.isEmpty() ? 0 : BROKEN;
  }

  private int swarm() {
    AtomicLong refused = new AtomicLong();
    Map<Long, List<Violation>> broken = new TreeMap<>();
    LongStream.range(seed, seed + swarm)
        .parallel()
        .forEach(
            each -> {
              VirtualSwarm.Result result = VirtualSwarm.play(members, each, mutant);
              refused.addAndGet(result.refused());
              if (!result.breaches().isEmpty()) {
                synchronized (broken) {
                  broken.put(each, result.breaches());
                }
              }
            });
    System.out.printf(
        "%d seeds of %d members, mutant %s: %d broken; %d datagrams of strangers were refused%n",
        swarm, members, mutant.name().toLowerCase(Locale.ROOT), broken.size(), refused.get());
    broken.entrySet().stream()
        .limit(5)
        .forEach(
            each -> System.out.println("seed " + each.getKey() + ": " + each.getValue().get(0)));
    return broken.isEmpty() ? 0 : BROKEN;
  }

  private int small() {
    ModelChecker.Result result = ModelChecker.explore(members, duties, small, calm, mutant);
    System.out.printf(
        "%d members, %d duties, mutant %s: %d states within %d steps, %s%n",
        members,
        duties,
        mutant.name().toLowerCase(Locale.ROOT),
        result.states(),
        result.depth(),
        result.broken() == null
            ? "none broken"
            : "BROKEN " + result.broken() + " by " + Arrays.toString(result.steps()));
    return result.broken() == null ? 0 : BROKEN;
  }
}
