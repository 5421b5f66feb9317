package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits that keep the module readable. */
class ModuleLimitsTest {
  private static final Path FOLDER = Path.of("src/main/java/ferngrade/dispatch");

  /** The policy files that deploy/balancer.toml names. */
  private static List<String> module() throws IOException {
    List<String> lines = new ArrayList<>();
    for (String file :
        List.of("ThrottlingDispatcher.java", "ObjectAffinity.java", "SlowStart.java")) {
      lines.addAll(Files.readAllLines(FOLDER.resolve(file)));
    }
    return lines;
  }

  @Test
  void noLineOfTheModuleRunsPast110Characters() throws IOException {
    List<String> wide = module().stream().filter(line -> line.length() > 110).toList();
    assertEquals(List.of(), wide);
  }
}
