package ferngrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The limits that keep the module readable. */
class ModuleLimitsTest {
    private static final Path MODULE = Path.of("src/main/java/ferngrade/Choice.java");

    @Test
    void moduleHoldsAtMost950Lines() throws IOException {
        long lines = Files.readAllLines(MODULE).stream().filter(line -> !line.isBlank()).count();
        assertTrue(lines > 0 && lines <= 950, "non-blank lines: " + lines);
    }

    @Test
    void noLineOfTheModuleRunsPast110Characters() throws IOException {
        List<String> wide = Files.readAllLines(MODULE).stream().filter(line -> line.length() > 110).toList();
        assertEquals(List.of(), wide);
    }
}
