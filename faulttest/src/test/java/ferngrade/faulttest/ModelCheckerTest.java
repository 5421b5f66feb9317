package ferngrade.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Explores a small model exhaustively, to detect sequences of events that violate a rule; {@code
 * faulttest run --small} runs deeper explorations.
 */
class ModelCheckerTest {
  @Test
  void noReachableStateViolatesARule() {
    ModelChecker.Result result = ModelChecker.explore(2, 1, 7, false, Mutant.NONE);
    assertNull(result.violatedRule());
    assertTrue(result.states() > 1_000, "states " + result.states());
  }

  @ParameterizedTest
  @CsvSource({"NO_EPOCH_CHECK,fenced", "HOLD_FROM_ANSWER,one owner", "NO_DRIFT_BOUND,one owner"})
  void detectsMissingSafetyCheck(Mutant mutant, String rule) {
    assertEquals(rule, ModelChecker.explore(2, 1, 10, true, mutant).violatedRule());
  }
}
