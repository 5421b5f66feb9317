package ferngrade.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ferngrade.node.MaintenanceOverrides;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MaintenanceCodecTest {
  @Test
  void readsBackWhatItWrote() {
    MaintenanceOverrides.Saved saved =
        new MaintenanceOverrides.Saved(Set.of("s-1", "s-2"), Map.of("s-3", 1.5e12));
    assertEquals(saved, MaintenanceCodec.read(MaintenanceCodec.write(saved)));
  }

  @Test
  void writesFormatOfEarlierVersions() {
    MaintenanceOverrides.Saved saved =
        new MaintenanceOverrides.Saved(
            Set.of("s-2", "s-1", "a \"quoted\" one"), Map.of("s-3", 1_790_000_000_123.25));
    String recorded =
        "{\"out\":[\"a \\\"quoted\\\""
            + " one\",\"s-1\",\"s-2\"],\"back\":{\"s-3\":1.79000000012325E12}}";
    assertEquals(recorded, MaintenanceCodec.write(saved));
    assertEquals(saved, MaintenanceCodec.read(recorded));
    assertEquals(
        "{\"out\":[],\"back\":{}}",
        MaintenanceCodec.write(new MaintenanceOverrides.Saved(Set.of(), Map.of())));
  }

  @Test
  void rejectsFileTruncatedAtAnyLengthOrInOtherFormat() {
    String complete =
        MaintenanceCodec.write(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of("s-3", 7.0)));
    for (int length = 0; length < complete.length(); length++) {
      String truncated = complete.substring(0, length);
      assertThrows(
          IllegalArgumentException.class, () -> MaintenanceCodec.read(truncated), truncated);
    }
    assertThrows(IllegalArgumentException.class, () -> MaintenanceCodec.read("[1,2]"));
    assertThrows(
        IllegalArgumentException.class, () -> MaintenanceCodec.read("{\"out\":[3],\"back\":{}}"));
  }
}
