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

/** A file that is replaced whole, on a disk that fails, with a schedule that the test runs. */
class AtomicFileTest {
  private static final Path PATH = Path.of("/state/file");
  private static final String OLD = "{\"out\":[\"s-1\"],\"back\":{}}";
  private static final String NEW = "{\"out\":[\"s-1\",\"s-2\"],\"back\":{\"s-3\":900}}";

  private final FaultInjectingFileOperations files = new FaultInjectingFileOperations();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final List<Long> pauses = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<String> durable = new ArrayList<>();
  private final AtomicFile file = new AtomicFile(PATH, files, this::schedule, log::add);

  private void schedule(Runnable task, long delayMillis) {
    tasks.add(task);
    pauses.add(delayMillis);
  }

  private void write(String text) {
    file.write(text, () -> durable.add(text));
  }

  private void attempt() {
    tasks.remove().run();
  }

  @Test
  void failuresOfEachOperationAreRetriedUntilTheContentStands() throws IOException {
    for (Operation operation : Operation.values()) {
      for (String message : List.of("No space left on device", "Input/output error")) {
        String content = operation + " " + message;
        files.fail(operation, FaultInjectingFileOperations.error(message));
        write(content);
        for (int i = 0; i < 20; i++) {
          attempt();
          assertFalse(durable.contains(content), content);
          assertEquals(1, tasks.size(), "one attempt is scheduled");
        }
        files.heal();
        attempt();
        assertTrue(durable.contains(content), content);
        assertEquals(content, file.read());
        assertEquals(
            content,
            new AtomicFile(PATH, files.afterPowerFailure(false), this::schedule, log::add).read());
        assertTrue(tasks.isEmpty(), "nothing is left to do");
      }
    }
    assertEquals(
        2 * 2 * Operation.values().length,
        log.size(),
        "a line when it begins and one when it ends: " + log);
  }

  @Test
  void pausesGrowToABoundAndBeginAnewAfterASuccess() {
    files.fail(Operation.SYNC, FaultInjectingFileOperations.error("Input/output error"));
    write(NEW);
    for (int i = 0; i < 7; i++) {
      attempt();
    }
    assertEquals(List.of(0L, 20L, 40L, 80L, 160L, 320L, 500L, 500L), pauses);
    files.heal();
    attempt();
    pauses.clear();
    files.fail(Operation.RENAME, FaultInjectingFileOperations.error("Input/output error"));
    write(OLD);
    attempt();
    assertEquals(List.of(0L, BackgroundWriter.RETRY_MIN), pauses);
  }

  @Test
  void onlyTheNewestContentIsWrittenAndAllWhoWaitHearOfIt() throws IOException {
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("No space left on device"));
    write("first");
    attempt();
    write("second");
    write("third");
    assertEquals(1, tasks.size());
    files.heal();
    attempt();
    assertEquals("third", file.read());
    assertEquals(List.of("first", "second", "third"), durable);
  }

  @Test
  void runtimeExceptionsNeitherLoseTheWriteNorTheOtherListeners() throws IOException {
    files.fail(
        Operation.CREATE,
        () -> {
          throw new IllegalStateException("by the test");
        });
    file.write(
        NEW,
        () -> {
          throw new IllegalStateException("a listener's");
        });
    write(NEW);
    attempt();
    files.heal();
    attempt();
    assertEquals(NEW, file.read());
    assertEquals(List.of(NEW), durable);
    write(OLD);
    attempt();
    assertEquals(OLD, file.read());
  }

  @Test
  void contentAskedForWhileAnAttemptRunsIsWrittenNext() throws IOException {
    file.write(OLD, () -> write(NEW));
    attempt();
    attempt();
    assertEquals(NEW, file.read());
    assertEquals(List.of(NEW), durable);
  }

  @Test
  void killOrPowerFailureBehindEveryByteLeavesTheOldContentOrTheNew() throws IOException {
    // With a temporary file of an earlier life in the way: its bytes never show.
    Path leftover = PATH.resolveSibling("file." + ProcessHandle.current().pid() + ".next");
    boolean completed = false;
    for (int operations = 0; !completed; operations++) {
      FaultInjectingFileOperations disk = new FaultInjectingFileOperations();
      disk.put(PATH, OLD.getBytes(StandardCharsets.UTF_8));
      disk.put(
          leftover,
          "{\"out\":[\"s-9\",\"s-8\",\"s-7\",\"s-6\",\"s-5\",\"s-4\"],\"ba"
              .getBytes(StandardCharsets.UTF_8));
      disk.killAfter(operations);
      durable.clear();
      AtomicFile writer = new AtomicFile(PATH, disk, this::schedule, log::add);
      writer.write(NEW, () -> durable.add(NEW));
      try {
        attempt();
        completed = true;
      } catch (FaultInjectingFileOperations.Killed killed) {
        assertTrue(durable.isEmpty(), "no yes before the end");
      }
      for (FaultInjectingFileOperations left :
          List.of(disk.afterKill(), disk.afterPowerFailure(true), disk.afterPowerFailure(false))) {
        AtomicFile later = new AtomicFile(PATH, left, this::schedule, log::add);
        String found = later.read();
        assertTrue(
            found.equals(NEW) || (!completed && found.equals(OLD)), operations + ": " + found);
        // What is left over keeps nobody from writing.
        later.write("later", () -> {});
        attempt();
        assertEquals("later", later.read());
      }
    }
  }

  @Test
  void missingFileIsNoneAndDamagedTextIsAnError() throws IOException {
    assertNull(file.read());
    files.put(PATH, new byte[] {'{', (byte) 0xff, '}'});
    assertThrows(CharacterCodingException.class, file::read);
  }

  @Test
  void realFolderTakesTheContentAndKeepsNoTemporaryFile(@TempDir Path folder) throws IOException {
    AtomicFile real =
        new AtomicFile(folder.resolve("file"), FileOperations.SYSTEM, this::schedule, log::add);
    for (String content : List.of(OLD, NEW, "")) {
      real.write(content, () -> durable.add(content));
      attempt();
      assertEquals(content, real.read());
    }
    assertEquals(List.of(OLD, NEW, ""), durable);
    assertEquals(1, folder.toFile().list().length);
    Files.delete(folder.resolve("file"));
    Files.delete(folder);
    real.write(NEW, () -> durable.add(NEW));
    attempt();
    assertEquals(3, durable.size());
    Files.createDirectory(folder);
    attempt();
    assertEquals(NEW, real.read());
  }
}
