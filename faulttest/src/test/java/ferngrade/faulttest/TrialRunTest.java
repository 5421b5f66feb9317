package ferngrade.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.toml.FileException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs trials with several processes of the program and checks their safety invariants. */
class TrialRunTest {
  private static final List<String> PROGRAM =
      List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-Xmx64m",
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-cp",
          System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
          "ferngrade.Main");

  @TempDir private Path folder;

  private List<Violation> runTrial(String name, Mutant mutant) throws Exception {
    return new TrialRun(TrialFile.shipped(name), 1, mutant, PROGRAM, folder).run().violations();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "owner-killed",
        "owner-stopped",
        "late-effect",
        "lost-disk",
        "taken-in-anew",
        "disk-full",
        "bit-turned",
        "forged",
        "list-asked-once"
      })
  void trialHasNoViolations(String name) throws Exception {
    assertEquals(List.of(), runTrial(name, Mutant.NONE));
  }

  @Test
  void detectsJobReceiverThatIgnoresEpochs() throws Exception {
    List<Violation> violations = runTrial("late-effect", Mutant.NO_EPOCH_CHECK);
    assertTrue(
        violations.stream().anyMatch(violation -> violation.rule().equals("fenced")),
        violations.toString());
  }

  @Test
  void parsesShippedTrialsAndReportsTheLineOfAnError() throws FileException {
    for (String name : TrialFile.SHIPPED) {
      assertEquals(name, TrialFile.shipped(name).name());
    }
    FileException failure =
        assertThrows(
            FileException.class,
            () -> TrialFile.read("t.toml", "name = \"x\"\n[[step]]\nwho = \"a\"\ndo = \"sing\"\n"));
    assertTrue(
        failure.getMessage().startsWith("t.toml:4: step[0].do is unknown"), failure.getMessage());
  }
}
