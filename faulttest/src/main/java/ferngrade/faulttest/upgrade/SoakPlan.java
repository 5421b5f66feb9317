package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * All that a seed decides about a soak.
 *
 * @param seed the seed
 * @param clients the number of clients
 * @param meanPause the mean pause of a client between two requests, ms
 * @param crowd connections that carry nothing
 * @param episodes what happens, in order
 */
public record SoakPlan(
    long seed, int clients, double meanPause, int crowd, List<Episode> episodes) {
  /** Workers that the run's own operator takes out and back, from the first on. */
  static final int DESK_WORKERS = 3;

  /** Workers that episodes take out, after those. */
  static final int EPISODE_WORKERS = 3;

  /** All workers; the last ones always serve. */
  static final int WORKERS = 8;

  private static final int CROWD = 400;

  /** The plan of a seed, with so many episodes. */
  public static SoakPlan of(long seed, int episodes) {
    Random random = new Random(seed);
    int clients = 10 + random.nextInt(20);
    double meanPause = 20 + random.nextInt(60);
    int crowd = random.nextInt(4) == 0 ? CROWD : 0;
    List<Episode> drawn = new ArrayList<>();
    for (int i = 0; i < episodes; i++) {
      EpisodeKind kind = EpisodeKind.values()[random.nextInt(EpisodeKind.values().length)];
      String worker = "s-" + (DESK_WORKERS + 1 + random.nextInt(EPISODE_WORKERS));
      drawn.add(
          new Episode(
              kind,
              random.nextInt(400),
              random.nextInt(1000),
              200 + random.nextInt(1000),
              random.nextBoolean(),
              worker));
    }
    return new SoakPlan(seed, clients, meanPause, crowd, drawn);
  }
}
