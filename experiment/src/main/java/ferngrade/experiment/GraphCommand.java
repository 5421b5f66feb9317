package ferngrade.experiment;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.emulator.Scenario;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.math3.linear.Array2DRowRealMatrix;
import org.apache.commons.math3.linear.EigenDecomposition;
import org.apache.commons.math3.linear.RealMatrix;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * What the spectrum of the nodes' peer graph says of their budget: the convergence rate and the
 * steady-state deviation that Siami and Skaf give for a distributed throttler ("Structural Analysis
 * and Optimal Design of Distributed System Throttlers", equations 15 and 24), with the step that
 * the module takes and with the best one (equation 27).
 */
@Command(
    name = "graph",
    description = "Says how fast slack crosses the peer graph of a tier, by its spectrum.",
    mixinStandardHelpOptions = true)
final class GraphCommand implements Callable<Integer> {
  private static final double CYCLE_S = 0.5;

  @Option(
      names = "--nodes",
      split = ",",
      defaultValue = "2,4,8,16,32,64,128,256,512",
      paramLabel = "N")
  private List<Integer> sizes;

  /** What the spectrum of one graph says. */
  record Spectrum(
      int nodes,
      int links,
      double gamma,
      double least,
      double most,
      double rate,
      double bestRate,
      double deviation) {
    /** Cycles until the slowest difference has halved. */
    double halfLife() {
      return rate <= 0 ? 0 : Math.log(0.5) / Math.log(rate);
    }

    double bestHalfLife() {
      return bestRate <= 0 ? 0 : Math.log(0.5) / Math.log(bestRate);
    }
  }

  @Override
  public Integer call() {
    System.out.println(
        "nodes,peers,gamma,lambda 2,lambda n,rate,half-life cycles,half-life s,"
            + "half-life s at the best gamma,deviation a node");
    for (int nodes : sizes) {
      Spectrum s = spectrum(nodes);
      System.out.printf(
          Locale.ROOT,
          "%d,%d,%.3f,%.5f,%.3f,%.5f,%.1f,%.1f,%.1f,%.2f%n",
          s.nodes(),
          s.links(),
          s.gamma(),
          s.least(),
          s.most(),
          s.rate(),
          s.halfLife(),
          s.halfLife() * CYCLE_S,
          s.bestHalfLife() * CYCLE_S,
          s.deviation());
    }
    return 0;
  }

  static Spectrum spectrum(int nodes) {
    RealMatrix laplacian = new Array2DRowRealMatrix(nodes, nodes);
    int links = 0;
    for (int node = 0; node < nodes; node++) {
      List<Integer> peers = peersOf(node, nodes);
      links = Math.max(links, peers.size());
      for (int peer : peers) {
        laplacian.addToEntry(node, node, 1);
        laplacian.addToEntry(node, peer, -1);
      }
    }
    double[] values = new EigenDecomposition(laplacian).getRealEigenvalues();
    Arrays.sort(values);
    double gamma = 1.0 / (links + 1);
    double least = nodes > 1 ? values[1] : 0;
    double most = values[nodes - 1];
    double deviation = 0;
    for (int i = 1; i < nodes; i++) {
      deviation += 1 / (values[i] * (2 - gamma * values[i]));
    }
    double best = 2 / (least + most);
    return new Spectrum(
        nodes,
        links,
        gamma,
        least,
        most,
        Math.max(1 - gamma * least, gamma * most - 1),
        Math.max(1 - best * least, best * most - 1),
        deviation / nodes);
  }

  /** Whom the module of a node tells of its slice, learned from what it does in its first cycle. */
  static List<Integer> peersOf(int node, int nodes) {
    Scenario scenario = Scenario.standard();
    scenario.nodes = nodes;
    List<Integer> told = new ArrayList<>();
    List<Long> timers = new ArrayList<>();
    Dispatcher module =
        new ThrottlingDispatcher(
            scenario.settings(node),
            1,
            0,
            new Dispatcher.Actions() {
              @Override
              public void send(String id, long worker, double timeout) {}

              @Override
              public void refuse(String id, double retryAfter) {}

              @Override
              public void fail(String id) {}

              @Override
              public void cancel(String id, int attempt) {}

              @Override
              public void check(long worker) {}

              @Override
              public void tell(int peer, byte[] message) {
                told.add(peer);
              }

              @Override
              public void timer(double after, long token) {
                timers.add(token);
              }

              @Override
              public void watch() {}

              @Override
              public void log(String line) {}
            });
    module.timer(1000, timers.get(0));
    return told;
  }
}
