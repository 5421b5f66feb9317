package ferngrade.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.node.FaultInjectingFileOperations.Operation;
import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Writes files with injected disk faults, on a schedule that the test runs. */
class AtomicFileTest {
  private static final Path PATH = Path.of("/state/file");
  private static final String OLD_CONTENT = "{\"out\":[\"s-1\"],\"back\":{}}";
  private static final String NEW_CONTENT = "{\"out\":[\"s-1\",\"s-2\"],\"back\":{\"s-3\":900}}";

  private final FaultInjectingFileOperations files = new FaultInjectingFileOperations();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final List<Long> delays = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<String> durable = new ArrayList<>();
  private final AtomicFile file = new AtomicFile(PATH, files, this::schedule, log::add);

  private void schedule(Runnable task, long delayMillis) {
    tasks.add(task);
    delays.add(delayMillis);
  }

  private void write(String text) {
    file.write(text, () -> durable.add(text));
  }

  private void runNextTask() {
    tasks.remove().run();
  }

  @Test
  void retriesFailuresOfEachOperationUntilContentIsDurable() throws IOException {
    for (Operation operation : Operation.values()) {
      for (String message : List.of("No space left on device", "Input/output error")) {
        String content = operation + " " + message;
        files.fail(operation, FaultInjectingFileOperations.error(message));
        write(content);
        for (int i = 0; i < 20; i++) {
          runNextTask();
          assertFalse(durable.contains(content), content);
          assertEquals(1, tasks.size(), "exactly one attempt must be scheduled");
        }
        files.clearFault();
        runNextTask();
        assertTrue(durable.contains(content), content);
        assertEquals(content, file.read());
        assertEquals(
            content,
            new AtomicFile(PATH, files.afterPowerFailure(false), this::schedule, log::add).read());
        assertTrue(tasks.isEmpty(), "no attempt may be scheduled after a success");
      }
    }
    assertEquals(
        2 * 2 * Operation.values().length,
        log.size(),
        "one line must be logged when failures start and one when they end: " + log);
  }

  @Test
  void retryDelayGrowsToLimitAndIsResetAfterSuccess() {
    files.fail(Operation.SYNC, FaultInjectingFileOperations.error("Input/output error"));
    write(NEW_CONTENT);
    for (int i = 0; i < 7; i++) {
      runNextTask();
    }
    assertEquals(List.of(0L, 20L, 40L, 80L, 160L, 320L, 500L, 500L), delays);
    files.clearFault();
    runNextTask();
    delays.clear();
    files.fail(Operation.RENAME, FaultInjectingFileOperations.error("Input/output error"));
    write(OLD_CONTENT);
    runNextTask();
    assertEquals(List.of(0L, BackgroundWriter.MIN_RETRY_DELAY_MILLIS), delays);
  }

  @Test
  void writesOnlyLatestContentAndNotifiesAllListeners() throws IOException {
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("No space left on device"));
    write("first");
    runNextTask();
    write("second");
    write("third");
    assertEquals(1, tasks.size());
    files.clearFault();
    runNextTask();
    assertEquals("third", file.read());
    assertEquals(List.of("first", "second", "third"), durable);
  }

  @Test
  void runtimeExceptionsLoseNeitherWriteNorOtherListeners() throws IOException {
    files.fail(
        Operation.CREATE,
        () -> {
          throw new IllegalStateException("injected by the test");
        });
    file.write(
        NEW_CONTENT,
        () -> {
          throw new IllegalStateException("thrown by a listener");
        });
    write(NEW_CONTENT);
    runNextTask();
    files.clearFault();
    runNextTask();
    assertEquals(NEW_CONTENT, file.read());
    assertEquals(List.of(NEW_CONTENT), durable);
    write(OLD_CONTENT);
    runNextTask();
    assertEquals(OLD_CONTENT, file.read());
  }

  @Test
  void contentRequestedDuringAttemptIsWrittenNext() throws IOException {
    file.write(OLD_CONTENT, () -> write(NEW_CONTENT));
    runNextTask();
    runNextTask();
    assertEquals(NEW_CONTENT, file.read());
    assertEquals(List.of(NEW_CONTENT), durable);
  }

  @Test
  void killOrPowerFailureAfterAnyByteLeavesOldOrNewContent() throws IOException {
    // A temporary file of an earlier process with the same id already exists; its bytes must never
    // be read.
    Path leftover = PATH.resolveSibling("file." + ProcessHandle.current().pid() + ".next");
    boolean completed = false;
    for (int operations = 0; !completed; operations++) {
      FaultInjectingFileOperations disk = new FaultInjectingFileOperations();
      disk.put(PATH, OLD_CONTENT.getBytes(StandardCharsets.UTF_8));
      disk.put(
          leftover,
          "{\"out\":[\"s-9\",\"s-8\",\"s-7\",\"s-6\",\"s-5\",\"s-4\"],\"ba"
              .getBytes(StandardCharsets.UTF_8));
      disk.killAfter(operations);
      durable.clear();
      AtomicFile writer = new AtomicFile(PATH, disk, this::schedule, log::add);
      writer.write(NEW_CONTENT, () -> durable.add(NEW_CONTENT));
      try {
        runNextTask();
        completed = true;
      } catch (FaultInjectingFileOperations.Killed killed) {
        assertTrue(
            durable.isEmpty(), "durability must not be reported before the write is complete");
      }
      for (FaultInjectingFileOperations remaining :
          List.of(disk.afterKill(), disk.afterPowerFailure(true), disk.afterPowerFailure(false))) {
        AtomicFile laterFile = new AtomicFile(PATH, remaining, this::schedule, log::add);
        String content = laterFile.read();
        assertTrue(
            content.equals(NEW_CONTENT) || (!completed && content.equals(OLD_CONTENT)),
            operations + ": " + content);
        // Leftover files must not prevent later writes.
        laterFile.write("later", () -> {});
        runNextTask();
        assertEquals("later", laterFile.read());
      }
    }
  }

  @Test
  void readReturnsNullForMissingFileAndFailsForMalformedText() throws IOException {
    assertNull(file.read());
    files.put(PATH, new byte[] {'{', (byte) 0xff, '}'});
    assertThrows(CharacterCodingException.class, file::read);
  }

  @Test
  void writesToRealDirectoryWithoutLeavingTemporaryFiles(@TempDir Path folder) throws IOException {
    AtomicFile real =
        new AtomicFile(folder.resolve("file"), FileOperations.SYSTEM, this::schedule, log::add);
    for (String content : List.of(OLD_CONTENT, NEW_CONTENT, "")) {
      real.write(content, () -> durable.add(content));
      runNextTask();
      assertEquals(content, real.read());
    }
    assertEquals(List.of(OLD_CONTENT, NEW_CONTENT, ""), durable);
    assertEquals(1, folder.toFile().list().length);
    Files.delete(folder.resolve("file"));
    Files.delete(folder);
    real.write(NEW_CONTENT, () -> durable.add(NEW_CONTENT));
    runNextTask();
    assertEquals(3, durable.size());
    Files.createDirectory(folder);
    runNextTask();
    assertEquals(NEW_CONTENT, real.read());
  }
}
