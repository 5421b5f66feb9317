package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.toml.FileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against invalid fleet files that are accepted, or reported without the location of the
 * error.
 */
class FleetFileTest {
  private static final String VALID =
      """
      name = "f"
      targets = ["127.0.0.1:8080"]
      [[member]]
      name = "a"
      address = "127.0.0.1:7101"
      [[member]]
      name = "b"
      address = "127.0.0.1:7102"
      part = "learner"
      [[recurring]]
      name = "sweep"
      every = "24h"
      class = "plan"
      tenant = "t"
      effect = "keyed"
      """;

  @TempDir private Path folder;

  private FleetFile read(String text) throws IOException, FileException {
    Path file = folder.resolve("fleet.toml");
    Files.writeString(file, text);
    return FleetFile.read(file);
  }

  @Test
  void readsFileAndDeployedFile() throws IOException, FileException {
    FleetFile file = read(VALID);
    assertEquals(86_400_000, file.jobs().get(0).schedule().periodMillis());
    assertTrue(
        file.jobs().get(0).schedule().repeatable()
            && file.member("a").voter()
            && !file.member("b").voter());
    assertEquals(3, FleetFile.read(Path.of("../deploy/fleet.toml")).members().size());
  }

  @Test
  void readsKeysAndRejectsInvalidKeyFile() throws IOException, FileException {
    String keyed = VALID.replace("targets", "key-file = \"fleet.key\"\ntargets");
    for (String invalid :
        new String[] {
          "", "short\n", "a key of some length\nanother of some length\na third of some length\n"
        }) {
      Files.writeString(folder.resolve("fleet.key"), invalid);
      assertTrue(
          assertThrows(FileException.class, () -> read(keyed))
              .getMessage()
              .contains("fleet.toml:2: key-file must hold one key or two"));
    }
    Files.delete(folder.resolve("fleet.key"));
    assertTrue(
        assertThrows(FileException.class, () -> read(keyed))
            .getMessage()
            .contains("key-file cannot be read"));
    Files.writeString(
        folder.resolve("fleet.key"), "a key of some length\n\nanother of some length\n");
    assertEquals(2, read(keyed).keys().size());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "name = \"f\" | colour = \"red\" | fleet.toml:1: colour is unknown here",
        "part = \"learner\" | part = \"king\" | fleet.toml:9: member[1].part is neither",
        "name = \"b\" | name = \"a\" | fleet.toml:7: member[1].name is a duplicate: a",
        "every = \"24h\" | every = \"1us\" | fleet.toml:12: recurring[0].every must be",
        "effect = \"keyed\" | effect = \"often\" | fleet.toml:15: recurring[0].effect is unknown",
        "address = \"127.0.0.1:7101\" | address = \"here\" | fleet.toml:5: member[0].address is not"
            + " an address",
        "targets = [\"127.0.0.1:8080\"] | hold = \"1500ms\" | fleet.toml: targets is missing",
        "part = \"learner\" | list = \"127.0.0.1:1\" | fleet.toml: discovery is missing",
        "part = \"learner\" | gossip = \"there\" | fleet.toml:9: member[1].gossip is not an"
            + " address",
        "tenant = \"t\" | deadline = \"1s\" | fleet.toml:10: recurring[0].tenant is missing",
        "[[member]] | [[member | fleet.toml:3: is not TOML"
      })
  void reportsInvalidValueWithFileLineAndKey(String original, String replacement, String expected) {
    String text =
        original.startsWith("name = \"f\"")
            ? VALID.replace(original, replacement + "\n" + original)
            : VALID.replace(original, replacement);
    FileException invalid = assertThrows(FileException.class, () -> read(text));
    assertTrue(invalid.getMessage().contains(expected), invalid.getMessage());
  }
}
