package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.Main;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a slow start: a node must not load the logging libraries of the experiments before
 * it listens, even if they are on the class path.
 */
@Timeout(60)
class ServeStartTest {
  private static final Path EXAMPLE = Path.of("../examples/node.json").toAbsolutePath();

  @TempDir private Path folder;
  private Process process;

  @AfterEach
  void stopProcess() throws InterruptedException {
    process.destroy();
    if (!process.waitFor(10, TimeUnit.SECONDS)) {
      process.destroyForcibly();
    }
  }

  @Test
  void nodeStartsWithoutLoadingLoggingLibraries() throws IOException {
    Path classLog = folder.resolve("classes");
    ProcessBuilder builder =
        new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xlog:class+load:file=" + classLog,
            "-cp",
            System.getProperty("java.class.path"),
            Main.class.getName(),
            "serve");
    builder.environment().put("LB_CONFIG", EXAMPLE.toString());
    builder.environment().put("LB_LISTEN", "127.0.0.1:0");
    builder.environment().put("TMPDIR", folder.toString());
    process = builder.redirectErrorStream(true).start();
    awaitListening(process.inputReader());
    List<String> loaded = Files.readAllLines(classLog);
    assertTrue(loaded.stream().anyMatch(line -> line.contains(" ferngrade.server.NodeServer ")));
    assertEquals(
        List.of(),
        loaded.stream()
            .filter(line -> line.matches(".* (ch[.]qos[.]logback|org[.]slf4j)[.].*"))
            .toList());
  }

  private static void awaitListening(BufferedReader log) throws IOException {
    String line = log.readLine();
    while (line != null && !line.contains("listening at")) {
      line = log.readLine();
    }
    assertTrue(line != null, "the node exited before it listened");
  }
}
