package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * All that a seed decides about a churn run.
 *
 * @param seed the seed
 * @param clients the number of clients
 * @param behaviour how they behave
 * @param crowd connections that carry nothing
 * @param share the part of the time that processes run
 * @param longestPause the longest time for which they are stopped, ms
 * @param steps the upgrades, in order
 */
public record ChurnPlan(
    long seed,
    int clients,
    ClientBehaviour behaviour,
    int crowd,
    double share,
    int longestPause,
    List<Step> steps) {
  /** All workers; the first ones fail. */
  static final int WORKERS = 8;

  /** How many of them fail in each step, a quarter. */
  static final int FAULTY = 2;

  /** The longest pause that the platform's page asks a node to bear, ms. */
  private static final int LONGEST_PAUSE = 150;

  private static final int CROWD = 400;

  /**
   * One upgrade.
   *
   * @param pause how long the node serves in peace before it, ms
   * @param movesDiscovery true if discovery moves while both processes run
   * @param signals how many times SIGTERM is sent, some ms apart
   * @param faults what the faulty workers do from its beginning on
   */
  public record Step(long pause, boolean movesDiscovery, int signals, List<WorkerFault> faults) {}

  /** The plan of a seed, with so many upgrades. */
  public static ChurnPlan of(long seed, int upgrades) {
    Random random = new Random(seed);
    int clients = 8 + random.nextInt(12);
    ClientBehaviour behaviour =
        new ClientBehaviour(30 + random.nextInt(60), 2000, 0.02 + 0.1 * random.nextDouble());
    int crowd = random.nextInt(4) == 0 ? CROWD : 0;
    double share = 0.3 + 0.3 * random.nextDouble();
    int longest = LONGEST_PAUSE - random.nextInt(LONGEST_PAUSE / 2);
    List<Step> steps = new ArrayList<>();
    for (int i = 0; i < upgrades; i++) {
      List<WorkerFault> faults = new ArrayList<>();
      for (int worker = 0; worker < FAULTY; worker++) {
        faults.add(WorkerFault.values()[random.nextInt(WorkerFault.values().length)]);
      }
      steps.add(
          new Step(
              500 + random.nextInt(1000), random.nextInt(3) == 0, 1 + random.nextInt(3), faults));
    }
    return new ChurnPlan(seed, clients, behaviour, crowd, share, longest, steps);
  }
}
