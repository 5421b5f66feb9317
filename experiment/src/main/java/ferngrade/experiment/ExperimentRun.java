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

/** One run of an experiment: a scenario, a policy and a seed. */
public record ExperimentRun(String point, String policy, long seed) {
  private static final Logger LOG = LoggerFactory.getLogger(ExperimentRun.class);

  /**
   * What came of it. Latencies are milliseconds; {@code breaches} counts them by rule; {@code
   * trace} is the digest of all that happened; {@code passedMs} is the time that passed in the run
   * and {@code tookMs} the machine's.
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
    /** The breaches of all rules. */
    public long allBreaches() {
      return breaches.values().stream().mapToLong(count -> count).sum();
    }

    /** The share of the worth asked for that was answered in time. */
    public double goodput() {
      return figures.get("goodput");
    }
  }

  /**
   * Plays the run on sockets against nodes that {@code command} starts; null if the machine was too
   * busy for it.
   */
  public Result playOnSockets(Scenario scenario, List<String> command, Path folder)
      throws InterruptedException, IOException {
    Statistics statistics = new Statistics(scenario, Double.NaN);
    InvariantCheckers bench = new InvariantCheckers(scenario);
    List<Observer> observers = new ArrayList<>(bench.judges());
    observers.add(statistics);
    Files.createDirectories(folder);
    long began = System.nanoTime();
    SocketRun run = new SocketRun(scenario, seed, command, folder, observers);
    String unfit = run.run();
    if (unfit != null) {
      LOG.warn(
          "void: policy={} seed={} point=\"{}\" why=\"the machine was too busy: {}\"",
          policy,
          seed,
          point,
          unfit);
      return null;
    }
    bench.finish(run.startedAt() + run.passed());
    return result(
        statistics, bench, run.startedAt(), "", 0, run.passed(), (System.nanoTime() - began) / 1e6);
  }

  /** Plays the run in virtual time. */
  public Result play(Scenario scenario, Mutation mutation) {
    Statistics statistics = new Statistics(scenario, VirtualRun.START);
    TraceHash trace = new TraceHash();
    InvariantCheckers bench = new InvariantCheckers(scenario);
    List<Observer> observers = new ArrayList<>(bench.judges());
    observers.add(statistics);
    observers.add(trace);
    long began = System.nanoTime();
    VirtualRun run = new VirtualRun(scenario, seed, Policies.named(policy), mutation, observers);
    run.run();
    bench.finish(VirtualRun.START + run.passed());
    return result(
        statistics,
        bench,
        VirtualRun.START,
        trace.hex(),
        run.events(),
        run.passed(),
        (System.nanoTime() - began) / 1e6);
  }

  private Result result(
      Statistics statistics,
      InvariantCheckers bench,
      double start,
      String trace,
      long events,
      double passed,
      double took) {
    Map<String, Long> breaches = new LinkedHashMap<>();
    List<String> texts = new ArrayList<>();
    for (InvariantChecker judge : bench.judges()) {
      breaches.put(judge.rule(), judge.count());
      judge
          .breaches()
          .forEach(
              each ->
                  texts.add(
                      String.format(
                          "%s at %.1f ms: %s", each.rule(), each.at() - start, each.what())));
    }
    return new Result(
        point,
        policy,
        seed,
        statistics.figures(),
        statistics.byClass(),
        statistics.byTenant(),
        statistics.series(),
        statistics.window(),
        breaches,
        texts,
        bench.fallen(),
        trace,
        events,
        passed,
        took);
  }
}
