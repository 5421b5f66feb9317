package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The parameters of a churn run, all drawn from a seed.
 *
 * @param seed the seed
 * @param clients the number of clients
 * @param behaviour the behaviour of the clients
 * @param idleConnections the number of idle connections
 * @param share the fraction of the time during which the processes are not stopped
 * @param longestPause the maximum time for which processes are stopped, ms
 * @param steps the upgrades, in order
 */
public record ChurnPlan(
    long seed,
    int clients,
    ClientBehaviour behaviour,
    int idleConnections,
    double share,
    int longestPause,
    List<Step> steps) {
  /** The number of workers; the first {@link #FAULTY_WORKERS} of them misbehave. */
  static final int WORKERS = 8;

  /** The number of workers that misbehave in each step: a quarter of all workers. */
  static final int FAULTY_WORKERS = 2;

  /** The longest pause that the platform's documentation requires a node to tolerate, ms. */
  private static final int MAX_PAUSE_MILLIS = 150;

  private static final int IDLE_CONNECTIONS = 400;

  /**
   * One upgrade.
   *
   * @param pause the time before the upgrade without any fault, ms
   * @param movesDiscovery whether the discovery address changes while both processes run
   * @param signals the number of SIGTERM signals sent in short succession
   * @param faults the faults of the faulty workers from the beginning of the step
   */
  public record Step(long pause, boolean movesDiscovery, int signals, List<WorkerFault> faults) {}

  /** Returns the plan of a seed with this number of upgrades. */
  public static ChurnPlan of(long seed, int upgrades) {
    Random random = new Random(seed);
    int clients = 8 + random.nextInt(12);
    ClientBehaviour behaviour =
        new ClientBehaviour(30 + random.nextInt(60), 2000, 0.02 + 0.1 * random.nextDouble());
    int idleConnections = random.nextInt(4) == 0 ? IDLE_CONNECTIONS : 0;
    double share = 0.3 + 0.3 * random.nextDouble();
    int maxPause = MAX_PAUSE_MILLIS - random.nextInt(MAX_PAUSE_MILLIS / 2);
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < upgrades; i++) {
      List<WorkerFault> faults = new ArrayList<>();
      for (int worker = 0; worker < FAULTY_WORKERS; worker++) {
        faults.add(WorkerFault.values()[random.nextInt(WorkerFault.values().length)]);
      }
      steps.add(
          new Step(
              500 + random.nextInt(1000), random.nextInt(3) == 0, 1 + random.nextInt(3), faults));
    }
    return new ChurnPlan(seed, clients, behaviour, idleConnections, share, maxPause, steps);
  }
}
