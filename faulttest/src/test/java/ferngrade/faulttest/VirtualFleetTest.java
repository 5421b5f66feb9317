package ferngrade.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Members in virtual time under drawn faults; the number of seeds is set by {@code
 * ferngrade.seeds}.
 */
class VirtualFleetTest {
  private static final int SEEDS = Integer.getInteger("ferngrade.seeds", 150);

  @Test
  void oneOwnerAtATimeAndOneLogThroughDrawnFaults() {
    for (int size : new int[] {3, 5}) {
      List<String> broken =
          LongStream.rangeClosed(1, SEEDS)
              .parallel()
              .boxed()
              .flatMap(
                  seed ->
                      VirtualFleet.play(size, seed, Mutant.NONE).breaches().stream()
                          .map(each -> size + " members, seed " + seed + ": " + each))
              .limit(5)
              .toList();
      assertEquals(List.of(), broken);
    }
  }

  @Test
  void votersOnAMachineThatIsFarTooBusyElectALeaderAllTheSame() {
    // As long as a vote's way took longer than elections were drawn apart, these asked in step and
    // never agreed.
    List<String> broken =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(
                seed ->
                    VirtualFleet.playSlow(3, seed, 80).breaches().stream()
                        .map(each -> "seed " + seed + ": " + each))
            .limit(5)
            .toList();
    assertEquals(List.of(), broken);
  }

  @Test
  void theSameSeedGivesTheSameRun() {
    assertEquals(VirtualFleet.play(3, 7, Mutant.NONE), VirtualFleet.play(3, 7, Mutant.NONE));
  }

  @ParameterizedTest
  @CsvSource({
    "NO_EPOCH_CHECK,fenced",
    "HOLD_FROM_ANSWER,one owner",
    "NO_DRIFT_BOUND,one owner",
    "FORGOTTEN_VOTES,one log",
    "UNSYNCED_VOTE,one leader"
  })
  void aProgramBrokenOnPurposeIsFoundByItsJudge(Mutant mutant, String rule) {
    assertTrue(
        LongStream.rangeClosed(1, 2_000)
            .parallel()
            .anyMatch(
                seed ->
                    VirtualFleet.play(3, seed, mutant).breaches().stream()
                        .anyMatch(each -> each.rule().equals(rule))),
        mutant + " went unseen");
  }
}
