package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import ferngrade.cli.Cli;
import ferngrade.dispatch.Idempotency;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A store in a real folder, and what an operator sees of it. */
class StoreCommandTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e9, 3, 10, 100);

  @TempDir private Path folder;
  private Path store;

  @BeforeEach
  void fill() throws IOException {
    store = folder.resolve("store");
    JobTable table = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(store);
        WriteAheadLog log = WriteAheadLog.open(disk, 1 << 20, table::replay)) {
      log.commit(
          table
              .accept(new JobSubmission("a", Idempotency.UNSAFE, "", 0, new byte[100]), 1)
              .records());
      log.commit(
          table
              .accept(new JobSubmission("b", Idempotency.KEYED, "k", 50, new byte[100]), 1)
              .records());
      log.commit(table.lease("a", "w1", 2, 0).records());
      log.commit(table.lease("b", "w2", 2, 0).records());
      log.commit(table.done("b", 2, "cooked", 3).records());
    }
  }

  private static String output(int code, String... arguments) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream into = new PrintStream(output, true, StandardCharsets.UTF_8);
    System.setOut(into);
    System.setErr(into);
    try {
      assertEquals(code, Cli.run(arguments));
    } finally {
      System.setOut(out);
      System.setErr(err);
    }
    return output.toString(StandardCharsets.UTF_8);
  }

  private Path log() throws IOException {
    return store.resolve(LogFiles.logName(1));
  }

  @Test
  void checkDumpAndStatsReadWithoutChanging() throws IOException {
    byte[] before = Files.readAllBytes(log());
    assertEquals(
        "sound: 5 entries in 5 batches, 2 jobs\n", output(0, "store", "check", store.toString()));
    assertTrue(
        output(0, "store", "dump", store.toString())
            .contains("a LEASED UNSAFE leases=1 token=1 worker=w1"));
    assertTrue(output(0, "store", "stats", store.toString()).contains("DONE       1"));
    assertEquals(
        new String(before, StandardCharsets.ISO_8859_1),
        new String(Files.readAllBytes(log()), StandardCharsets.ISO_8859_1));
    assertTrue(
        output(2, "store", "check", folder.resolve("none").toString()).contains("is no folder"));
  }

  @Test
  void aTornTailIsCutAndADamagedMiddleIsAnErrorThatRepairSavesTheRestOf() throws IOException {
    byte[] whole = Files.readAllBytes(log());
    Files.write(log(), Arrays.copyOf(whole, whole.length - 3));
    assertTrue(output(0, "store", "check", store.toString()).contains("never synced"));
    JobTable table = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(store);
        WriteAheadLog log = WriteAheadLog.open(disk, 1 << 20, table::replay)) {
      assertTrue(log.recovery().tornBytes() > 0);
      assertEquals(JobState.LEASED, table.job("b").orElseThrow().state());
      log.commit(List.of(new LogRecord.Tokens(9)));
    }
    whole = Files.readAllBytes(log());
    whole[whole.length / 2] ^= 4;
    Files.write(log(), whole);
    String printed = output(StoreCommand.DAMAGED, "store", "check", store.toString());
    assertTrue(printed.matches("(?s).*log-0000000000000001: offset \\d+: .*"), printed);
    Path mended = folder.resolve("mended");
    assertTrue(
        output(0, "store", "repair", store.toString(), mended.toString())
            .contains("stopped at log-"));
    assertTrue(output(0, "store", "check", mended.toString()).startsWith("sound"));
    // The damaged part may have leased what waits before it: nothing of that may start, nor a token
    // come again.
    JobTable saved = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openReadOnly(mended)) {
      WriteAheadLog.inspect(disk, saved::replay);
      assertFalse(saved.jobs().isEmpty());
      for (Job job : saved.jobs()) {
        assertEquals(JobState.IN_DOUBT, job.state());
        assertFalse(saved.lease(job.id(), "w3", 10, 0).allowed());
      }
      JobTable again = new JobTable(SETTINGS);
      saved.snapshot().forEach(again::replay);
      assertEquals(saved.snapshot(), again.snapshot());
      assertEquals(JobState.IN_DOUBT, again.jobs().iterator().next().state());
      assertTrue(again.highestToken() > 1000);
    }
  }

  @Test
  void twoProcessesCannotHaveOneFolder() throws IOException {
    try (FileSystemStorage locked = FileSystemStorage.openExclusive(store)) {
      assertFalse(locked.list().isEmpty());
      assertThrows(IOException.class, () -> FileSystemStorage.openExclusive(store));
    }
    FileSystemStorage.openExclusive(store).close();
  }

  @Test
  void jobStatesDependOnNoDiskClockOrThread() {
    ArchRuleDefinition.noClasses()
        .that()
        .haveNameMatching(
            "ferngrade\\.jobstore\\.(JobTable|JobStates|JobState|JobChange|Job|JobSubmission|LogRecord)"
                + "(\\$.*)?")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("java.io..", "java.nio..", "java.time..", "java.util.concurrent..")
        .orShould()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(new ClassFileImporter().importPackages("ferngrade.jobstore"));
  }
}
