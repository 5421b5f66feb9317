package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import ferngrade.knownfailures.SkipKnownFailures;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A short churn run of a fixed seed, and two mutations that its checkers must detect. */
@ExtendWith(SkipKnownFailures.class)
class ChurnTest {
  private static final long SEED = 2;

  @Test
  void nothingIsLostOrRejectedBesideIdleWorkers() throws Exception {
    ChurnRun.Result result =
        ChurnRun.run(ChurnPlan.of(SEED, 2), UpgradeRun.currentProgramCommand());
    String timeline =
        result.observations().steps().stream()
            .map(Observations.Step::toString)
            .collect(Collectors.joining("\n"));
    assertEquals(List.of(), result.violations(), timeline);
  }

  @ParameterizedTest
  @EnumSource(
      value = Mutation.class,
      names = {"BUDGET_NEVER_GROWS", "HALF_WRITTEN_ANSWER"})
  void detectsMutation(Mutation mutation) throws Exception {
    ChurnRun.Result result = ChurnRun.run(ChurnPlan.of(SEED, 1), MutantNode.command(mutation));
    assertFalse(result.violations().isEmpty(), mutation.name());
  }
}
