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

class SharedLogTest {
  private static final Path PATH = Path.of("/shared/log");

  private final FaultInjectingFileOperations files = new FaultInjectingFileOperations();
  private final Queue<Runnable> scheduled = new ArrayDeque<>();
  private final Queue<Runnable> appends = new ArrayDeque<>();
  private final List<String> logged = new ArrayList<>();

  /** One process's view of the log. */
  private final class Follower {
    final List<String> records = new ArrayList<>();
    int replaced;
    final SharedLog log =
        new SharedLog(
            PATH,
            files,
            (task, delay) -> scheduled.add(task),
            (task, delay) -> appends.add(task),
            Runnable::run,
            logged::add,
            records::add,
            () -> replaced++);

    Follower() {
      log.open(true);
    }
  }

  /** Runs what is scheduled now: writes, and one check of each log. */
  private void runScheduled() {
    for (int tasks = scheduled.size(); tasks > 0; tasks--) {
      scheduled.remove().run();
    }
  }

  @Test
  void eachProcessGetsTheRecordsOfAllInOneOrder() {
    Follower first = new Follower();
    Follower second = new Follower();
    first.log.append("a", () -> {});
    second.log.append("b", () -> {});
    runScheduled();
    first.log.poll();
    second.log.poll();
    assertEquals(List.of("a", "b"), first.records);
    assertEquals(List.of("a", "b"), second.records);
    assertEquals(List.of("a", "b"), new Follower().records);
  }

  /** Fails where a poll within the handling of a record spoils the poll that passed it on. */
  @Test
  void recordsPolledWhileAnotherIsHandledAreNotLost() {
    Follower writer = new Follower();
    List<String> records = new ArrayList<>();
    SharedLog[] nested = new SharedLog[1];
    nested[0] =
        new SharedLog(
            PATH,
            files,
            (task, delay) -> scheduled.add(task),
            (task, delay) -> appends.add(task),
            Runnable::run,
            logged::add,
            record -> {
              records.add(record);
              if (records.equals(List.of("a"))) {
                writer.log.append("c".repeat(40), () -> {});
                runScheduled();
                nested[0].poll();
              }
            },
            () -> {});
    nested[0].open(true);
    writer.log.append("a", () -> {});
    writer.log.append("b", () -> {});
    runScheduled();
    nested[0].poll();
    nested[0].poll();
    assertEquals(List.of("a", "b", "c".repeat(40)), records, logged::toString);
  }

  @Test
  void recordIsReportedStoredOnlyOnceTheDiskHasTaken() {
    Follower follower = new Follower();
    List<String> stored = new ArrayList<>();
    files.fail(Operation.SYNC, FaultInjectingFileOperations.error("Input/output error"));
    follower.log.append("a", () -> stored.add("a"));
    runScheduled();
    assertEquals(List.of(), stored);
    files.heal();
    runScheduled();
    assertEquals(List.of("a"), stored);
    // What the disk has taken before the error is there too: records may repeat, none is lost.
    follower.log.poll();
    assertEquals("a", follower.records.get(0));
  }

  /** Fails where a process that ends waits for a disk, or leaves a record unread behind it. */
  @Test
  void recordCanBeReadBeforeADiskThatIsBusyHasTakenIt() {
    Follower ending = new Follower();
    Follower other = new Follower();
    List<String> reached = new ArrayList<>();
    ending.log.append("a", () -> reached.add("durable"));
    ending.log.whenAppended(() -> reached.add("appended"));
    assertEquals(List.of(), reached);
    appends.remove().run();
    other.log.poll();
    assertEquals(List.of("a"), other.records);
    assertEquals(List.of("appended"), reached);
    runScheduled();
    assertEquals(List.of("appended", "durable"), reached);
    other.log.poll();
    assertEquals(List.of("a"), other.records);
  }

  @Test
  void recordCutShortAnywhereIsSkippedAndSpoilsNoOther() {
    Follower whole = new Follower();
    whole.log.append("{\"worker\":\"s-1\"}", () -> {});
    runScheduled();
    byte[] bytes = contents();
    for (int cut = 0; cut < bytes.length - 1; cut++) {
      FaultInjectingFileOperations torn = new FaultInjectingFileOperations();
      torn.put(PATH, Arrays.copyOf(bytes, cut));
      appendTo(torn, "next");
      List<String> read = read(torn);
      assertEquals(List.of("next"), read, "cut at " + cut);
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
            each -> {},
            () -> {});
    writer.append(record, () -> {});
    tasks.remove().run();
  }

  private static List<String> read(FaultInjectingFileOperations files) {
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
  void anotherFileInItsPlaceIsFollowedAndAskedToBeFilledAgain() {
    Follower follower = new Follower();
    follower.log.append("a", () -> {});
    runScheduled();
    follower.log.poll();
    files.put(PATH, "\n".getBytes(StandardCharsets.US_ASCII));
    runScheduled();
    assertEquals(1, follower.replaced);
    appendTo(files, "b");
    follower.log.poll();
    assertEquals(List.of("a", "b"), follower.records);
  }

  @Test
  void logThatCannotBeOpenedIsNotCompleteUntilItCan() {
    files.fail(Operation.CREATE, FaultInjectingFileOperations.error("No space left on device"));
    Follower follower = new Follower();
    assertFalse(follower.log.complete());
    files.heal();
    runScheduled();
    assertTrue(follower.log.complete());
    assertEquals(1, follower.replaced);
  }

  /** Fails where a process relies on a file that the others do not write to any more. */
  @Test
  void logIsNotCurrentWhileAnotherFileStandsInItsPlace() {
    Follower follower = new Follower();
    assertTrue(follower.log.current());
    files.put(PATH, "\n".getBytes(StandardCharsets.US_ASCII));
    appendTo(files, "b");
    follower.log.poll();
    assertEquals(follower.log.current(), follower.records.contains("b"), "all that the log holds");
  }
}
