package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks the formatting limits of the module's sources. */
class ModuleLimitsTest {
  private static final Path SOURCE_DIRECTORY = Path.of("src/main/java/ferngrade/dispatch");

  /** Returns the lines of all main source files of the module. */
  private static List<String> sourceLines() throws IOException {
    List<String> lines = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(SOURCE_DIRECTORY, "*.java")) {
      for (Path file : files) {
        lines.addAll(Files.readAllLines(file));
      }
    }
    assertFalse(lines.isEmpty(), "no source file in " + SOURCE_DIRECTORY);
    return lines;
  }

  @Test
  void noSourceLineExceeds110Characters() throws IOException {
    List<String> longLines = sourceLines().stream().filter(line -> line.length() > 110).toList();
    assertEquals(List.of(), longLines);
  }
}
