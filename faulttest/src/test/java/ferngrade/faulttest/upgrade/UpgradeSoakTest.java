package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.knownfailures.SkipKnownFailures;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A short soak run of fixed seeds, which together contain each type of episode. */
@ExtendWith(SkipKnownFailures.class)
class UpgradeSoakTest {
  private static final int EPISODES = 3;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 4, 8})
  void losesNothingAndSendsNothingToDisabledWorkers(long seed) throws Exception {
    SoakRun.Result result =
        SoakRun.run(SoakPlan.of(seed, EPISODES), UpgradeRun.currentProgramCommand());
    String timeline =
        result.observations().steps().stream()
            .map(Observations.Step::toString)
            .collect(Collectors.joining("\n"));
    assertEquals(List.of(), result.violations(), timeline);
  }
}
