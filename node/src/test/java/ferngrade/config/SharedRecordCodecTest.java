package ferngrade.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ferngrade.node.DiscoveryRecord;
import ferngrade.node.DrainRecord;
import ferngrade.node.FinishingRecord;
import ferngrade.node.MaintenanceEntry;
import ferngrade.node.ProcessRecord;
import ferngrade.node.SharedRecord;
import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.Test;

class SharedRecordCodecTest {
  private static final InetSocketAddress ADDRESS = EndpointListParser.address("127.0.0.1:9600");
  private static final InetSocketAddress OTHER_ADDRESS =
      EndpointListParser.address("127.0.0.1:9601");

  /**
   * Processes of two releases exchange these records during an upgrade, so the text must not
   * change.
   */
  private static final Map<SharedRecord, String> TEXT_BY_RECORD =
      Map.of(
          new MaintenanceEntry("s-1", 4, true, 0),
              "{\"worker\":\"s-1\",\"version\":4,\"out\":true}",
          new MaintenanceEntry("s-1", 5, false, 1500.5),
              "{\"worker\":\"s-1\",\"version\":5,\"returned\":1500.5}",
          new DrainRecord(2, true), "{\"drained\":true,\"version\":2}",
          new DiscoveryRecord(ADDRESS, OTHER_ADDRESS),
              "{\"discovery\":\"127.0.0.1:9601\",\"former\":\"127.0.0.1:9600\"}",
          new FinishingRecord(4711), "{\"finishing\":4711}",
          new ProcessRecord(4711, ADDRESS, true),
              "{\"pid\":4711,\"operators\":\"127.0.0.1:9600\",\"first\":true}");

  @Test
  void writesExpectedTextAndReadsBackEachRecord() {
    TEXT_BY_RECORD.forEach(
        (record, text) -> {
          assertEquals(text, SharedRecordCodec.write(record));
          assertEquals(record, SharedRecordCodec.read(text));
        });
  }

  @Test
  void ignoresRecordTypeOfLaterReleaseAndRejectsMalformedText() {
    assertNull(SharedRecordCodec.read("{\"later\":1}"));
    assertThrows(IllegalArgumentException.class, () -> SharedRecordCodec.read("{\"worker\":"));
    assertThrows(
        IllegalArgumentException.class, () -> SharedRecordCodec.read("{\"worker\":\"s-1\"}"));
  }
}
