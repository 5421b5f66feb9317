package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The parameters of a soak run, all drawn from a seed.
 *
 * @param seed the seed
 * @param clients the number of clients
 * @param meanPause the mean pause of a client between two requests, ms
 * @param idleConnections the number of idle connections
 * @param episodes the episodes, in order
 */
public record SoakPlan(
    long seed, int clients, double meanPause, int idleConnections, List<Episode> episodes) {
  /**
   * The number of workers that the background operator disables and enables, starting with the
   * first worker.
   */
  static final int OPERATOR_WORKERS = 3;

  /**
   * The number of workers that episodes disable; they follow the first {@link #OPERATOR_WORKERS}
   * workers.
   */
  static final int EPISODE_WORKERS = 3;

  /** The number of workers; the last ones are never disabled. */
  static final int WORKERS = 8;

  private static final int IDLE_CONNECTIONS = 400;

  /** Returns the plan of a seed with this number of episodes. */
  public static SoakPlan of(long seed, int episodes) {
    Random random = new Random(seed);
    int clients = 10 + random.nextInt(20);
    double meanPause = 20 + random.nextInt(60);
    int idleConnections = random.nextInt(4) == 0 ? IDLE_CONNECTIONS : 0;
    List<Episode> drawn = new ArrayList<>();
    for (int i = 0; i < episodes; i++) {
      EpisodeKind kind = EpisodeKind.values()[random.nextInt(EpisodeKind.values().length)];
      String worker = "s-" + (OPERATOR_WORKERS + 1 + random.nextInt(EPISODE_WORKERS));
      drawn.add(
          new Episode(
              kind,
              random.nextInt(400),
              random.nextInt(1000),
              200 + random.nextInt(1000),
              random.nextBoolean(),
              worker));
    }
    return new SoakPlan(seed, clients, meanPause, idleConnections, drawn);
  }
}
