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

/** The limits that keep the module readable. */
class ModuleLimitsTest {
  private static final Path FOLDER = Path.of("src/main/java/ferngrade/dispatch");

  /** The lines of all main files of the module. */
  private static List<String> module() throws IOException {
    List<String> lines = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(FOLDER, "*.java")) {
      for (Path file : files) {
        lines.addAll(Files.readAllLines(file));
      }
    }
    assertFalse(lines.isEmpty(), "no source file in " + FOLDER);
    return lines;
  }

  @Test
  void noLineOfTheModuleRunsPast110Characters() throws IOException {
    List<String> wide = module().stream().filter(line -> line.length() > 110).toList();
    assertEquals(List.of(), wide);
  }
}
