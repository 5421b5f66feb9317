package ferngrade.experiment;

import ferngrade.emulator.Mutation;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.TraceHash;
import ferngrade.emulator.VirtualRun;
import ferngrade.emulator.invariant.InvariantChecker;
import ferngrade.emulator.invariant.InvariantCheckers;
import ferngrade.emulator.policy.Policies;
import ferngrade.emulator.socket.SocketRun;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One trial of an experiment: a point of the sweep, a policy and a seed. */
public record ExperimentRun(String point, String policy, long seed) {
  private static final Logger LOG = LoggerFactory.getLogger(ExperimentRun.class);

  /**
   * The result of a trial. Latencies are in milliseconds. {@code breaches} counts the violations of
   * each invariant, and {@code breachTexts} describes them. {@code fallen} counts the workers that
   * failed under load during slow start. {@code trace} is the hash of all events, empty on sockets.
   * {@code passedMs} is the duration in the trial's own time, {@code tookMs} the elapsed time of
   * the machine. The component names are keys in {@code results.json}.
   */
  public record Result(
      String point,
      String policy,
      long seed,
      Map<String, Double> figures,
      Map<String, Double> byClass,
      Map<String, Double> byTenant,
      Map<String, double[]> series,
      double windowMs,
      Map<String, Long> breaches,
      List<String> breachTexts,
      long fallen,
      String trace,
      long events,
      double passedMs,
      double tookMs) {
    /** Returns the number of violations of all invariants. */
    public long totalViolations() {
      return breaches.values().stream().mapToLong(count -> count).sum();
    }

    /** Returns the share of the requested value that was served in time, from 0 to 1. */
    public double goodput() {
      return figures.get("goodput");
    }
  }

  /**
   * Runs the trial on loopback sockets against nodes that {@code command} starts. Returns null if
   * the machine was too busy for a valid measurement.
   */
  public Result runOnSockets(Scenario scenario, List<String> command, Path folder)
      throws InterruptedException, IOException {
    Statistics statistics = new Statistics(scenario, Double.NaN);
    InvariantCheckers checkers = new InvariantCheckers(scenario);
    List<Observer> observers = new ArrayList<>(checkers.all());
    observers.add(statistics);
    Files.createDirectories(folder);
    long startNanos = System.nanoTime();
    SocketRun run = new SocketRun(scenario, seed, command, folder, observers);
    String invalidReason = run.run();
    if (invalidReason != null) {
      LOG.warn(
          "void: policy={} seed={} point=\"{}\" why=\"the machine was too busy: {}\"",
          policy,
          seed,
          point,
          invalidReason);
      return null;
    }
    checkers.finish(run.startedAt() + run.elapsedMillis());
    return result(
        statistics,
        checkers,
        run.startedAt(),
        "",
        0,
        run.elapsedMillis(),
        (System.nanoTime() - startNanos) / 1e6);
  }

  /** Runs the trial in virtual time. */
  public Result runInVirtualTime(Scenario scenario, Mutation mutation) {
    Statistics statistics = new Statistics(scenario, VirtualRun.START_MILLIS);
    TraceHash trace = new TraceHash();
    InvariantCheckers checkers = new InvariantCheckers(scenario);
    List<Observer> observers = new ArrayList<>(checkers.all());
    observers.add(statistics);
    observers.add(trace);
    long startNanos = System.nanoTime();
    VirtualRun run = new VirtualRun(scenario, seed, Policies.byName(policy), mutation, observers);
    run.run();
    checkers.finish(VirtualRun.START_MILLIS + run.elapsedMillis());
    return result(
        statistics,
        checkers,
        VirtualRun.START_MILLIS,
        trace.hex(),
        run.eventCount(),
        run.elapsedMillis(),
        (System.nanoTime() - startNanos) / 1e6);
  }

  private Result result(
      Statistics statistics,
      InvariantCheckers checkers,
      double start,
      String trace,
      long events,
      double durationMillis,
      double elapsedMillis) {
    Map<String, Long> breaches = new LinkedHashMap<>();
    List<String> texts = new ArrayList<>();
    for (InvariantChecker checker : checkers.all()) {
      breaches.put(checker.rule(), checker.violationCount());
      checker
          .violations()
          .forEach(
              violation ->
                  texts.add(
                      String.format(
                          "%s at %.1f ms: %s",
                          violation.rule(), violation.at() - start, violation.message())));
    }
    return new Result(
        point,
        policy,
        seed,
        statistics.metrics(),
        statistics.byClass(),
        statistics.byTenant(),
        statistics.series(),
        statistics.window(),
        breaches,
        texts,
        checkers.crashedWorkers(),
        trace,
        events,
        durationMillis,
        elapsedMillis);
  }
}
