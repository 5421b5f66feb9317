package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.codec.Codec;
import ferngrade.consensus.LogFormat;
import ferngrade.golden.GoldenFile;
import java.io.IOException;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the stored form: log entries, their results and snapshots must keep the
 * bytes that an earlier version wrote.
 */
class CommandGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("commands.txt");
  private static final Shard SHARD = new Shard("backup", 3);

  private final Codec codec = LogFormat.codec(Command.CLASSES);

  private static Map<String, Object> values() {
    Map<String, Object> values = new LinkedHashMap<>();
    values.put("shard", SHARD);
    values.put(
        "open",
        new Command.Open("m1", "0a1b2c", 1_790_000_000_123L, List.of(SHARD, new Shard("list", 0))));
    values.put("renew", new Command.Renew(7, 1_790_000_001_123L));
    values.put("expire", new Command.Expire(8, 41));
    values.put("close", new Command.Close(9));
    values.put("release", new Command.Release(10, SHARD, 77));
    values.put("drain", new Command.Drain(11));
    values.put("transfer", new Command.Transfer(SHARD, "m2"));
    values.put("begin", new Command.Begin(SHARD, 78, 1_790_000_060_000L));
    values.put("finish", new Command.Finish(SHARD, 79, 1_790_000_120_000L, "served: \u00e9"));
    values.put("opened", new Command.Opened(12));
    int number = 0;
    for (Command.Verdict verdict : Command.Verdict.values()) {
      values.put("begun-" + number++, new Command.Begun(verdict));
    }
    values.put("verdict", Command.Verdict.ACCEPTED);
    LeaseTable.Session session =
        new LeaseTable.Session(13, "m3", "ff", 5, true, 1_790_000_002_123L);
    LeaseTable.Slot slot =
        new LeaseTable.Slot(
            SHARD, 13, 80, true, "m4", 1_790_000_180_000L, true, 81, "done", 90, "free");
    LeaseTable.WallClock wall = new LeaseTable.WallClock("m5", 1_790_000_003_123L);
    values.put("session", session);
    values.put("slot", slot);
    values.put("wall", wall);
    values.put(
        "snapshot",
        new LeaseTable.Snapshot(91, 82, List.of(session), List.of(slot), List.of(wall)));
    values.put("result-true", true);
    values.put("result-null", null);
    return values;
  }

  @Test
  void readsAndWritesEachValueAsRecorded() throws IOException {
    for (Map.Entry<String, Object> value : values().entrySet()) {
      byte[] written = codec.write(value.getValue());
      GOLDEN.verify(value.getKey(), written);
      byte[] recorded = GOLDEN.bytes(value.getKey());
      assertEquals(value.getValue(), codec.read(recorded, 0, recorded.length), value.getKey());
    }
  }

  @Test
  void recordsEachClassOfTheFormat() {
    Set<Class<?>> recorded = new HashSet<>();
    values().values().stream()
        .filter(value -> value != null)
        .forEach(value -> recorded.add(value.getClass()));
    recorded.remove(Boolean.class);
    assertEquals(new HashSet<>(Command.CLASSES), recorded);
  }

  @Test
  void tableBuiltFromCommandsHasRecordedSnapshot() throws IOException {
    LeaseTable table = new LeaseTable();
    long index = 0;
    Object opened =
        table.apply(
            ++index, new Command.Open("m1", "n1", 1_000, List.of(SHARD, new Shard("list", 0))));
    table.apply(++index, new Command.Open("m2", "n2", 1_010, List.of(SHARD, new Shard("list", 0))));
    table.apply(++index, new Command.Renew(((Command.Opened) opened).session(), 2_000));
    table.apply(++index, new Command.Transfer(SHARD, "m2"));
    byte[] written = codec.write(table.snapshot());
    GOLDEN.verify("table", written);
    byte[] recorded = GOLDEN.bytes("table");
    LeaseTable restored = new LeaseTable();
    restored.restore(index, codec.read(recorded, 0, recorded.length));
    assertEquals(table.snapshot(), restored.snapshot());
  }
}
