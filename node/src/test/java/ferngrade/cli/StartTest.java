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
 * Guards against loading picocli when the platform restarts a node: on half a core, every class
 * outside the class archive delays the start noticeably.
 */
public class StartTest {
  /**
   * Runs the program without a configuration, so that it exits before it listens, and returns its
   * output with the loaded classes.
   */
  private static String outputWithLoadedClasses(String... arguments) throws Exception {
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
    assertTrue(output.contains("ferngrade.cli.Serve "), "the output lists the loaded classes");
    return output;
  }

  @Test(timeOut = 60_000)
  public void startsWithoutPicocliWhenServeIsOnlyArgument() throws Exception {
    assertFalse(outputWithLoadedClasses("serve").contains("picocli.CommandLine "));
  }

  @Test(timeOut = 60_000)
  public void loadsPicocliWhenServeHasFurtherArguments() throws Exception {
    assertTrue(outputWithLoadedClasses("serve", "--rehearse").contains("picocli.CommandLine "));
  }
}
