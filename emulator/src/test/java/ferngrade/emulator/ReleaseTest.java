package ferngrade.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.knownfailures.SkipKnownFailures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a release whose new, cold workers stand idle while requests are rejected. */
@ExtendWith(SkipKnownFailures.class)
class ReleaseTest {
  /** The system property that sets how many seeds the bound on cold workers is tried with. */
  private static final String SEEDS_PROPERTY = "release.seeds";

  private static final int DEFAULT_SEEDS = 3;
  private static final int SECOND_BEFORE_RELEASE = 5;
  private static final int FIRST_PRESSED_SECOND = 12;
  private static final int LAST_PRESSED_SECOND = 30;

  /** Share of the requests in time before the release that must be reached again. */
  private static final double BACK = 0.9;

  private static ReleaseRun play(long seed, String policy) {
    return ReleaseRun.play(ReleaseRun.scenario(), seed, policy);
  }

  private static int backAt(ReleaseRun run) {
    return run.backAt(BACK * run.inTime(1, SECOND_BEFORE_RELEASE));
  }

  /** Fails where the fleet waits until its new workers are warm. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void afterAReleaseRequestsAreInTimeBeforeTheLastNewWorkerIsWarm(long seed) {
    ReleaseRun run = play(seed, "module");
    int backAt = backAt(run);
    assertTrue(backAt * 1000.0 < run.lastWarmAt(), backAt + " s, warm at " + run.lastWarmAt());
  }

  /** Fails where grants of cold workers go to dispatchers that do not use them. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void coldWorkersGetTwoThirdsOfWhatIsAllowedWhileRequestsAreRejected(long seed) {
    double used = play(seed, "module").usedOfAllowed(FIRST_PRESSED_SECOND, LAST_PRESSED_SECOND);
    assertTrue(used >= 2.0 / 3, used + " of what is allowed");
  }

  /** Fails where the fleet recovers much later than one that knows all loads. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void afterAReleaseRequestsAreInTimeWithinTwoSecondsOfTheAllSeeingPolicy(long seed) {
    int backAt = backAt(play(seed, "module"));
    int possible = backAt(play(seed, "all-seeing"));
    assertTrue(backAt <= possible + 2, backAt + " s, possible " + possible + " s");
  }

  /** Fails where the dispatchers together push over a worker that is warming up. */
  @Test
  void noColdWorkerGetsMoreInAWindowThanItMayBear() {
    for (long seed = 1; seed <= Long.getLong(SEEDS_PROPERTY, DEFAULT_SEEDS); seed++) {
      ReleaseRun run = play(seed, "module");
      assertTrue(run.worstShareOfBound <= 1, run.worstShareOfBound + " of the bound, seed " + seed);
    }
  }
}
