package ferngrade.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs members in virtual time under randomly drawn faults and checks the safety invariants. The
 * system property {@code ferngrade.seeds} sets the number of seeds.
 */
class VirtualFleetTest {
  private static final int SEEDS = Integer.getInteger("ferngrade.seeds", 150);

  @Test
  void randomFaultsViolateNoInvariant() {
    for (int size : new int[] {3, 5}) {
      List<String> violations =
          LongStream.rangeClosed(1, SEEDS)
              .parallel()
              .boxed()
              .flatMap(
                  seed ->
                      VirtualFleet.run(size, seed, Mutant.NONE).violations().stream()
                          .map(violation -> size + " members, seed " + seed + ": " + violation))
              .limit(5)
              .toList();
      assertEquals(List.of(), violations);
    }
  }

  @Test
  void electsLeaderOnAnOverloadedMachine() {
    // Guards against a fault of an earlier version: if a vote request took longer than the spread
    // of the election timeouts, the voters started their elections at the same time and never
    // elected a leader.
    List<String> violations =
        LongStream.rangeClosed(1, SEEDS)
            .parallel()
            .boxed()
            .flatMap(
                seed ->
                    VirtualFleet.runWithDelays(3, seed, 80).violations().stream()
                        .map(violation -> "seed " + seed + ": " + violation))
            .limit(5)
            .toList();
    assertEquals(List.of(), violations);
  }

  @Test
  void sameSeedGivesTheSameResult() {
    assertEquals(VirtualFleet.run(3, 7, Mutant.NONE), VirtualFleet.run(3, 7, Mutant.NONE));
  }

  @ParameterizedTest
  @CsvSource({
    "NO_EPOCH_CHECK,fenced",
    "HOLD_FROM_ANSWER,one owner",
    "NO_DRIFT_BOUND,one owner",
    "FORGOTTEN_VOTES,one log",
    "UNSYNCED_VOTE,one leader"
  })
  void detectsMutantByTheExpectedRule(Mutant mutant, String rule) {
    assertTrue(
        LongStream.rangeClosed(1, 2_000)
            .parallel()
            .anyMatch(
                seed ->
                    VirtualFleet.run(3, seed, mutant).violations().stream()
                        .anyMatch(violation -> violation.rule().equals(rule))),
        mutant + " was not detected");
  }
}
