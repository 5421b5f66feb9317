package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Checks that a node under test starts with the class archive if there is one, as a deployed node
 * does.
 */
class ClassArchiveOptionsTest {
  @TempDir private Path folder;

  @Test
  void usesTheArchiveBesideASingleJar() throws IOException {
    Path archive = Files.createFile(folder.resolve("node.jsa"));
    List<String> options = UpgradeRun.classArchive(folder.resolve("node.jar").toString());
    assertTrue(options.contains("-XX:SharedArchiveFile=" + archive), options.toString());
  }

  @Test
  void addsNoOptionsWithoutAnArchiveOrForOtherClassPaths() throws IOException {
    Path jar = folder.resolve("node.jar");
    assertEquals(List.of(), UpgradeRun.classArchive(jar.toString()));
    Files.createFile(folder.resolve("node.jsa"));
    assertEquals(List.of(), UpgradeRun.classArchive(folder.resolve("other.jar") + ":" + jar));
    assertEquals(List.of(), UpgradeRun.classArchive(folder.toString()));
  }
}
