package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.cli.Cli;
import ferngrade.dispatch.Idempotency;
import ferngrade.golden.GoldenFile;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The entries and files of a store keep the form that an earlier version wrote, and so does what is
 * printed of them.
 */
class LogFileGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("job-log.txt");
  private static final byte[] PAYLOAD = {0, 1, -1, 'x'};

  @TempDir private Path folder;

  private static Map<String, LogRecord> entries() {
    Map<String, LogRecord> entries = new LinkedHashMap<>();
    int number = 0;
    for (Idempotency idempotency : Idempotency.values()) {
      entries.put(
          "accepted-" + number,
          new LogRecord.Accepted(
              "job-" + number, idempotency, "key", 7_500.5, 2, 1.79e12, PAYLOAD));
      number++;
    }
    entries.put("leased", new LogRecord.Leased("job-0", "worker-1", 11, 1.79e12 + 1));
    entries.put("started", new LogRecord.Started("job-0", 11, 1.79e12 + 2));
    entries.put("returned", new LogRecord.Returned("job-0", 11, true, 1.79e12 + 3.25));
    entries.put("doubted", new LogRecord.Doubted("job-1", 12, 1.79e12 + 4));
    entries.put("ended", new LogRecord.Ended("job-1", 12, true, "result \u00e9", 1.79e12 + 5));
    entries.put("forgotten", new LogRecord.Forgotten("job-1"));
    entries.put("tokens", new LogRecord.Tokens(1L << 40));
    return entries;
  }

  @Test
  void eachEntryIsReadAndWrittenAsRecorded() throws IOException {
    for (Map.Entry<String, LogRecord> each : entries().entrySet()) {
      ByteArrayOutputStream written = new ByteArrayOutputStream();
      LogRecordCodec.write(each.getValue(), written);
      GOLDEN.verify(each.getKey(), written.toByteArray());
      byte[] recorded = GOLDEN.bytes(each.getKey());
      assertEquals(
          each.getValue(), LogRecordCodec.read(recorded, 0, recorded.length), each.getKey());
    }
    assertEquals(
        Arrays.stream(LogRecord.class.getPermittedSubclasses())
            .map(Class::getSimpleName)
            .sorted()
            .toList(),
        entries().values().stream()
            .map(each -> each.getClass().getSimpleName())
            .distinct()
            .sorted()
            .toList());
  }

  @Test
  void aBatchIsFramedAsRecorded() {
    byte[] all = new byte[LogBatch.HEADER_BYTES + PAYLOAD.length];
    System.arraycopy(PAYLOAD, 0, all, LogBatch.HEADER_BYTES, PAYLOAD.length);
    GOLDEN.verify("batch", LogBatch.frame(all, 5));
  }

  /** Files by name, as commits and a compaction leave them: a snapshot and the log after it. */
  private static Map<String, byte[]> files(FaultInjectingStorage disk) {
    Map<String, byte[]> files = new LinkedHashMap<>();
    disk.list().stream().sorted().forEach(name -> files.put(name, disk.read(name)));
    return files;
  }

  private static FaultInjectingStorage filled() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    try (WriteAheadLog log = WriteAheadLog.open(disk, 1 << 20, replayed -> {})) {
      log.commit(new ArrayList<>(entries().values()).subList(0, Idempotency.values().length));
      log.commit(
          List.of(
              new LogRecord.Leased("job-0", "worker-1", 11, 1.79e12 + 1),
              new LogRecord.Started("job-0", 11, 1.79e12 + 2)));
      log.commit(List.of(new LogRecord.Leased("job-1", "worker-2", 12, 1.79e12 + 1)));
      log.commit(List.of(new LogRecord.Ended("job-1", 12, true, "result", 1.79e12 + 5)));
    }
    return disk;
  }

  @Test
  void filesAreWrittenAndReadAsRecorded() throws IOException {
    FaultInjectingStorage disk = filled();
    verifyFiles("", disk);
    JobTable table = new JobTable(JobTableSettings.REPLAY_ONLY);
    WriteAheadLog.open(disk, 1 << 20, table::replay).close();
    LogCompactor.compact(disk, 2);
    verifyFiles("compacted-", disk);

    JobTable recovered = new JobTable(JobTableSettings.REPLAY_ONLY);
    WriteAheadLog.inspect(recorded("compacted-", disk), recovered::replay);
    assertEquals(table.snapshot(), recovered.snapshot());
  }

  private static void verifyFiles(String prefix, FaultInjectingStorage disk) {
    GOLDEN.verify(prefix + "names", disk.list().stream().sorted().toList().toString());
    files(disk).forEach((name, content) -> GOLDEN.verify(prefix + name, content));
  }

  /** A disk with the files as they were recorded. */
  private static FaultInjectingStorage recorded(String prefix, FaultInjectingStorage like)
      throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(2, 0);
    for (String name : files(like).keySet()) {
      byte[] content = GOLDEN.bytes(prefix + name);
      disk.create(name).append(content, content.length);
    }
    return disk;
  }

  @Test
  void operatorsReadTheSameOfARecordedStore() throws IOException {
    for (String name : files(filled()).keySet()) {
      Files.write(folder.resolve(name), GOLDEN.bytes(name));
    }
    for (String command : List.of("check", "dump", "stats")) {
      GOLDEN.verifyLines("printed-" + command, printed("store", command, folder.toString()));
    }
  }

  private static String printed(String... arguments) {
    PrintStream out = System.out;
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
    try {
      assertEquals(0, Cli.run(arguments));
    } finally {
      System.setOut(out);
    }
    return printed.toString(StandardCharsets.UTF_8);
  }
}
