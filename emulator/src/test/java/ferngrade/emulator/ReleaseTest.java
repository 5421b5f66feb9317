package ferngrade.emulator;

import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.knownfailures.SkipKnownFailures;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a release whose new, cold workers are idle while requests are rejected. */
@ExtendWith(SkipKnownFailures.class)
class ReleaseTest {
  /** The system property with the number of seeds for the test of the bound on cold workers. */
  private static final String SEEDS_PROPERTY = "release.seeds";

  private static final int DEFAULT_SEEDS = 3;
  private static final int SECOND_BEFORE_RELEASE = 5;
  private static final int FIRST_OVERLOADED_SECOND = 12;
  private static final int LAST_OVERLOADED_SECOND = 30;

  /**
   * A run counts as recovered when its in-time ratio reaches this share of the in-time ratio before
   * the release.
   */
  private static final double RECOVERED_SHARE = 0.9;

  private static ReleaseRun run(long seed, String policy) {
    return ReleaseRun.run(ReleaseRun.scenario(), seed, policy);
  }

  private static int recoverySecond(ReleaseRun run) {
    return run.recoverySecond(RECOVERED_SHARE * run.onTimeShare(1, SECOND_BEFORE_RELEASE));
  }

  /** Fails if the fleet does not recover before its new workers are warm. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void afterAReleaseRequestsAreInTimeBeforeTheLastNewWorkerIsWarm(long seed) {
    ReleaseRun run = run(seed, "module");
    int recoverySecond = recoverySecond(run);
    assertTrue(
        recoverySecond * 1000.0 < run.lastWarmAt(),
        recoverySecond + " s until recovery, last worker warm at ms " + run.lastWarmAt());
  }

  /** Fails if the capacity of cold workers is granted to dispatchers that do not use it. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void coldWorkersGetTwoThirdsOfWhatIsAllowedWhileRequestsAreRejected(long seed) {
    double used =
        run(seed, "module").usedShareOfAllowed(FIRST_OVERLOADED_SECOND, LAST_OVERLOADED_SECOND);
    assertTrue(used >= 2.0 / 3, used + " of the allowed work was sent");
  }

  /** Fails if the fleet recovers much later than with a policy that knows all loads. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void afterAReleaseRequestsAreInTimeWithinTwoSecondsOfTheAllSeeingPolicy(long seed) {
    int recoverySecond = recoverySecond(run(seed, "module"));
    int possible = recoverySecond(run(seed, "all-seeing"));
    assertTrue(
        recoverySecond <= possible + 2,
        recoverySecond + " s until recovery, all-seeing policy " + possible + " s");
  }

  /** Fails if the dispatchers together overload a worker that is warming up. */
  @Test
  void coldWorkersStayWithinTheBoundOfEveryWindow() {
    for (long seed = 1; seed <= Long.getLong(SEEDS_PROPERTY, DEFAULT_SEEDS); seed++) {
      ReleaseRun run = run(seed, "module");
      assertTrue(run.maxShareOfBound <= 1, run.maxShareOfBound + " of the bound, seed " + seed);
    }
  }
}
