package ferngrade.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ferngrade.node.MaintenanceOverrides;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class MaintenanceCodecTest {
  @Test
  void whatIsWrittenReadsBackTheSame() {
    MaintenanceOverrides.Saved saved =
        new MaintenanceOverrides.Saved(Set.of("s-1", "s-2"), Map.of("s-3", 1.5e12));
    assertEquals(saved, MaintenanceCodec.read(MaintenanceCodec.write(saved)));
  }

  @Test
  void theTextIsAsAnEarlierVersionWroteIt() {
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
  void aTornOrForeignFileIsRefusedAtEveryCut() {
    String whole =
        MaintenanceCodec.write(new MaintenanceOverrides.Saved(Set.of("s-1"), Map.of("s-3", 7.0)));
    for (int cut = 0; cut < whole.length(); cut++) {
      String torn = whole.substring(0, cut);
      assertThrows(IllegalArgumentException.class, () -> MaintenanceCodec.read(torn), torn);
    }
    assertThrows(IllegalArgumentException.class, () -> MaintenanceCodec.read("[1,2]"));
    assertThrows(
        IllegalArgumentException.class, () -> MaintenanceCodec.read("{\"out\":[3],\"back\":{}}"));
  }
}
