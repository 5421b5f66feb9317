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
 * Guards against changes of the record and file formats that make stores of earlier versions
 * unreadable, and against changes of the operators' output.
 */
class LogFileGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("job-log.txt");
  private static final byte[] PAYLOAD = {0, 1, -1, 'x'};

  @TempDir private Path directory;

  private static Map<String, LogRecord> records() {
    Map<String, LogRecord> records = new LinkedHashMap<>();
    int number = 0;
    for (Idempotency idempotency : Idempotency.values()) {
      records.put(
          "accepted-" + number,
          new LogRecord.Accepted(
              "job-" + number, idempotency, "key", 7_500.5, 2, 1.79e12, PAYLOAD));
      number++;
    }
    records.put("leased", new LogRecord.Leased("job-0", "worker-1", 11, 1.79e12 + 1));
    records.put("started", new LogRecord.Started("job-0", 11, 1.79e12 + 2));
    records.put("returned", new LogRecord.Returned("job-0", 11, true, 1.79e12 + 3.25));
    records.put("doubted", new LogRecord.Doubted("job-1", 12, 1.79e12 + 4));
    records.put("ended", new LogRecord.Ended("job-1", 12, true, "result \u00e9", 1.79e12 + 5));
    records.put("forgotten", new LogRecord.Forgotten("job-1"));
    records.put("tokens", new LogRecord.Tokens(1L << 40));
    return records;
  }

  @Test
  void recordsMatchRecordedBytes() throws IOException {
    for (Map.Entry<String, LogRecord> entry : records().entrySet()) {
      ByteArrayOutputStream written = new ByteArrayOutputStream();
      LogRecordCodec.write(entry.getValue(), written);
      GOLDEN.verify(entry.getKey(), written.toByteArray());
      byte[] recorded = GOLDEN.bytes(entry.getKey());
      assertEquals(
          entry.getValue(), LogRecordCodec.read(recorded, 0, recorded.length), entry.getKey());
    }
    assertEquals(
        Arrays.stream(LogRecord.class.getPermittedSubclasses())
            .map(Class::getSimpleName)
            .sorted()
            .toList(),
        records().values().stream()
            .map(logRecord -> logRecord.getClass().getSimpleName())
            .distinct()
            .sorted()
            .toList());
  }

  @Test
  void batchFrameMatchesRecordedBytes() {
    byte[] batch = new byte[LogBatch.HEADER_BYTES + PAYLOAD.length];
    System.arraycopy(PAYLOAD, 0, batch, LogBatch.HEADER_BYTES, PAYLOAD.length);
    GOLDEN.verify("batch", LogBatch.frame(batch, 5));
  }

  /** Returns the content of all files by name. */
  private static Map<String, byte[]> files(FaultInjectingStorage disk) {
    Map<String, byte[]> files = new LinkedHashMap<>();
    disk.list().stream().sorted().forEach(name -> files.put(name, disk.read(name)));
    return files;
  }

  private static FaultInjectingStorage diskWithRecords() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    try (WriteAheadLog log = WriteAheadLog.open(disk, 1 << 20, replayed -> {})) {
      log.commit(new ArrayList<>(records().values()).subList(0, Idempotency.values().length));
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
  void filesMatchRecordedBytes() throws IOException {
    FaultInjectingStorage disk = diskWithRecords();
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

  /** Returns a disk with the recorded content of the files that exist on {@code original}. */
  private static FaultInjectingStorage recorded(String prefix, FaultInjectingStorage original)
      throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(2, 0);
    for (String name : files(original).keySet()) {
      byte[] content = GOLDEN.bytes(prefix + name);
      disk.create(name).append(content, content.length);
    }
    return disk;
  }

  @Test
  void operatorOutputOfRecordedStoreMatchesRecording() throws IOException {
    for (String name : files(diskWithRecords()).keySet()) {
      Files.write(directory.resolve(name), GOLDEN.bytes(name));
    }
    for (String command : List.of("check", "dump", "stats")) {
      GOLDEN.verifyLines("printed-" + command, output("store", command, directory.toString()));
    }
  }

  private static String output(String... arguments) {
    PrintStream out = System.out;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    System.setOut(new PrintStream(output, true, StandardCharsets.UTF_8));
    try {
      assertEquals(0, Cli.run(arguments));
    } finally {
      System.setOut(out);
    }
    return output.toString(StandardCharsets.UTF_8);
  }
}
