package ferngrade.cli;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.Main;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/**
 * What a node loads before it serves: on half a core each class that no archive takes is time
 * without a node.
 */
public class StartTest {
  /**
   * Runs the program without a configuration, which ends it before it listens, and returns what it
   * loaded.
   */
  private static String loaded(String... arguments) throws Exception {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:stdout",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName()));
    command.addAll(List.of(arguments));
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().remove("LB_CONFIG");
    Process process = builder.start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertEquals(process.waitFor(), Cli.BAD_CONFIG, output);
    assertTrue(output.contains("ferngrade: LB_CONFIG is not set"), output);
    assertTrue(output.contains("ferngrade.cli.Serve "), "the log tells what was loaded");
    return output;
  }

  @Test(timeOut = 60_000)
  public void theWordOfTheDeployFileStartsWithoutTheCommandLine() throws Exception {
    assertFalse(loaded("serve").contains("picocli.CommandLine "));
  }

  @Test(timeOut = 60_000)
  public void anythingBesideItIsReadByTheCommandLine() throws Exception {
    assertTrue(loaded("serve", "--rehearse").contains("picocli.CommandLine "));
  }
}
