package ferngrade.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.node.FaultInjectingFileOperations.Operation;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Appends to and follows one log from several processes, with injected disk faults. */
class SharedLogTest {
  private static final Path PATH = Path.of("/shared/log");

  private final FaultInjectingFileOperations files = new FaultInjectingFileOperations();
  private final Queue<Runnable> backgroundTasks = new ArrayDeque<>();
  private final Queue<Runnable> appendTasks = new ArrayDeque<>();
  private final List<String> logLines = new ArrayList<>();

  /** A process that opens and follows the log. */
  private final class Follower {
    final List<String> records = new ArrayList<>();
    int replacements;
    final SharedLog log =
        new SharedLog(
            PATH,
            files,
            (task, delay) -> backgroundTasks.add(task),
            (task, delay) -> appendTasks.add(task),
            Runnable::run,
            logLines::add,
            records::add,
            () -> replacements++);

    Follower() {
      log.open(true);
    }
  }

  /** Runs the tasks that are scheduled now: writes, and one check of each log. */
  private void runBackgroundTasks() {
    for (int tasks = backgroundTasks.size(); tasks > 0; tasks--) {
      backgroundTasks.remove().run();
    }
  }

  @Test
  void allProcessesReadAllRecordsInSameOrder() {
    Follower first = new Follower();
    Follower second = new Follower();
    first.log.append("a", () -> {});
    second.log.append("b", () -> {});
    runBackgroundTasks();
    first.log.poll();
    second.log.poll();
    assertEquals(List.of("a", "b"), first.records);
    assertEquals(List.of("a", "b"), second.records);
    assertEquals(List.of("a", "b"), new Follower().records);
  }

  /** Fails if a poll during the handling of a record corrupts the state of the outer poll. */
  @Test
  void reentrantPollLosesNoRecords() {
    Follower writer = new Follower();
    List<String> records = new ArrayList<>();
    SharedLog[] nested = new SharedLog[1];
    nested[0] =
        new SharedLog(
            PATH,
            files,
            (task, delay) -> backgroundTasks.add(task),
            (task, delay) -> appendTasks.add(task),
            Runnable::run,
            logLines::add,
            record -> {
              records.add(record);
              if (records.equals(List.of("a"))) {
                writer.log.append("c".repeat(40), () -> {});
                runBackgroundTasks();
                nested[0].poll();
              }
            },
            () -> {});
    nested[0].open(true);
    writer.log.append("a", () -> {});
    writer.log.append("b", () -> {});
    runBackgroundTasks();
    nested[0].poll();
    nested[0].poll();
    assertEquals(List.of("a", "b", "c".repeat(40)), records, logLines::toString);
  }

  @Test
  void reportsRecordAsDurableOnlyAfterSync() {
    Follower follower = new Follower();
    List<String> stored = new ArrayList<>();
    files.fail(Operation.SYNC, FaultInjectingFileOperations.error("Input/output error"));
    follower.log.append("a", () -> stored.add("a"));
    runBackgroundTasks();
    assertEquals(List.of(), stored);
    files.clearFault();
    runBackgroundTasks();
    assertEquals(List.of("a"), stored);
    // Bytes written before the error are in the file too: records may repeat, but none is lost.
    follower.log.poll();
    assertEquals("a", follower.records.get(0));
  }

  /**
   * Fails if a process that shuts down has to wait for a slow disk, or leaves a record that other
   * processes cannot read.
   */
  @Test
  void recordIsReadableBeforeSlowDiskSyncsIt() {
    Follower ending = new Follower();
    Follower other = new Follower();
    List<String> events = new ArrayList<>();
    ending.log.append("a", () -> events.add("durable"));
    ending.log.whenAppended(() -> events.add("appended"));
    assertEquals(List.of(), events);
    appendTasks.remove().run();
    other.log.poll();
    assertEquals(List.of("a"), other.records);
    assertEquals(List.of("appended"), events);
    runBackgroundTasks();
    assertEquals(List.of("appended", "durable"), events);
    other.log.poll();
    assertEquals(List.of("a"), other.records);
  }

  @Test
  void skipsRecordTruncatedAtAnyByte() {
    Follower writer = new Follower();
    writer.log.append("{\"worker\":\"s-1\"}", () -> {});
    runBackgroundTasks();
    byte[] bytes = contents();
    for (int cut = 0; cut < bytes.length - 1; cut++) {
      FaultInjectingFileOperations truncatedFiles = new FaultInjectingFileOperations();
      truncatedFiles.put(PATH, Arrays.copyOf(bytes, cut));
      appendTo(truncatedFiles, "next");
      List<String> records = readRecords(truncatedFiles);
      assertEquals(List.of("next"), records, "truncated at byte " + cut);
    }
  }

  private byte[] contents() {
    try {
      return files.read(PATH);
    } catch (IOException missing) {
      throw new UncheckedIOException(missing);
    }
  }

  private static void appendTo(FaultInjectingFileOperations files, String record) {
    Queue<Runnable> tasks = new ArrayDeque<>();
    SharedLog writer =
        new SharedLog(
            PATH,
            files,
            (task, delay) -> tasks.add(task),
            (task, delay) -> {},
            Runnable::run,
            line -> {},
            ignored -> {},
            () -> {});
    writer.append(record, () -> {});
    tasks.remove().run();
  }

  private static List<String> readRecords(FaultInjectingFileOperations files) {
    List<String> records = new ArrayList<>();
    new SharedLog(
            PATH,
            files,
            (task, delay) -> {},
            (task, delay) -> {},
            Runnable::run,
            line -> {},
            records::add,
            () -> {})
        .open(true);
    return records;
  }

  @Test
  void followsReplacementFileAndRequestsRecordsAgain() {
    Follower follower = new Follower();
    follower.log.append("a", () -> {});
    runBackgroundTasks();
    follower.log.poll();
    files.put(PATH, "\n".getBytes(StandardCharsets.US_ASCII));
    runBackgroundTasks();
    assertEquals(1, follower.replacements);
    appendTo(files, "b");
    follower.log.poll();
    assertEquals(List.of("a", "b"), follower.records);
  }

  @Test
  void logIsIncompleteUntilItCanBeOpened() {
    files.fail(Operation.CREATE, FaultInjectingFileOperations.error("No space left on device"));
    Follower follower = new Follower();
    assertFalse(follower.log.complete());
    files.clearFault();
    runBackgroundTasks();
    assertTrue(follower.log.complete());
    assertEquals(1, follower.replacements);
  }

  /** Fails if a process relies on a file to which the other processes no longer append. */
  @Test
  void logIsNotCurrentAfterFileWasReplaced() {
    Follower follower = new Follower();
    assertTrue(follower.log.current());
    files.put(PATH, "\n".getBytes(StandardCharsets.US_ASCII));
    appendTo(files, "b");
    follower.log.poll();
    assertEquals(
        follower.log.current(),
        follower.records.contains("b"),
        "the log must be current if and only if all its records were passed on");
  }
}
