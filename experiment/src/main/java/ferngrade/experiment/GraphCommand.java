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
 * Computes from the spectrum of the nodes' peer graph how fast the nodes' budget converges: the
 * convergence rate and the steady-state deviation that Siami and Skaf derive for a distributed
 * throttler ("Structural Analysis and Optimal Design of Distributed System Throttlers", equations
 * 15 and 24), with the step size that the module uses and with the optimal one (equation 27).
 */
@Command(
    name = "graph",
    description =
        "Computes from its spectrum how fast slack spreads through the peer graph of a tier.",
    mixinStandardHelpOptions = true)
final class GraphCommand implements Callable<Integer> {
  private static final double CYCLE_SECONDS = 0.5;

  @Option(
      names = "--nodes",
      split = ",",
      defaultValue = "2,4,8,16,32,64,128,256,512",
      paramLabel = "N")
  private List<Integer> sizes;

  /**
   * The properties of one peer graph. {@code links} is the largest number of peers of a node,
   * {@code gamma} the module's step size, {@code lambda2} and {@code lambdaMax} the smallest
   * nonzero and the largest eigenvalue of the Laplacian, {@code rate} and {@code bestRate} the
   * factor by which differences shrink in a cycle with the module's and with the optimal step size,
   * and {@code deviation} the steady-state deviation per node.
   */
  record Spectrum(
      int nodes,
      int links,
      double gamma,
      double lambda2,
      double lambdaMax,
      double rate,
      double bestRate,
      double deviation) {
    /** Returns the number of cycles until the slowest-decaying difference has halved. */
    double halfLife() {
      return rate <= 0 ? 0 : Math.log(0.5) / Math.log(rate);
    }

    /**
     * Returns the number of cycles until the slowest-decaying difference has halved with the
     * optimal step size.
     */
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
      Spectrum spectrum = spectrum(nodes);
      System.out.printf(
          Locale.ROOT,
          "%d,%d,%.3f,%.5f,%.3f,%.5f,%.1f,%.1f,%.1f,%.2f%n",
          spectrum.nodes(),
          spectrum.links(),
          spectrum.gamma(),
          spectrum.lambda2(),
          spectrum.lambdaMax(),
          spectrum.rate(),
          spectrum.halfLife(),
          spectrum.halfLife() * CYCLE_SECONDS,
          spectrum.bestHalfLife() * CYCLE_SECONDS,
          spectrum.deviation());
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
    double lambda2 = nodes > 1 ? values[1] : 0;
    double lambdaMax = values[nodes - 1];
    double deviation = 0;
    for (int i = 1; i < nodes; i++) {
      deviation += 1 / (values[i] * (2 - gamma * values[i]));
    }
    double bestGamma = 2 / (lambda2 + lambdaMax);
    return new Spectrum(
        nodes,
        links,
        gamma,
        lambda2,
        lambdaMax,
        Math.max(1 - gamma * lambda2, gamma * lambdaMax - 1),
        Math.max(1 - bestGamma * lambda2, bestGamma * lambdaMax - 1),
        deviation / nodes);
  }

  /**
   * Returns the peers to which the module of a node sends its slice, determined by recording the
   * messages of the module's first cycle.
   */
  static List<Integer> peersOf(int node, int nodes) {
    Scenario scenario = Scenario.standard();
    scenario.nodes = nodes;
    List<Integer> recipients = new ArrayList<>();
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
              public void reject(String id, double retryAfter) {}

              @Override
              public void fail(String id) {}

              @Override
              public void cancel(String id, int attempt) {}

              @Override
              public void checkHealth(long worker) {}

              @Override
              public void sendToPeer(int peer, byte[] message) {
                recipients.add(peer);
              }

              @Override
              public void scheduleTimer(double after, long token) {
                timers.add(token);
              }

              @Override
              public void watchEndpoints() {}

              @Override
              public void log(String line) {}
            });
    module.timerExpired(1000, timers.get(0));
    return recipients;
  }
}
