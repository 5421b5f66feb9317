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

/**
 * Guards against operators' commands that change a store, miss damage or make unsafe jobs run
 * again.
 */
class StoreCommandTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e9, 3, 10, 100);

  @TempDir private Path folder;
  private Path store;

  @BeforeEach
  void createStore() throws IOException {
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

  private static String run(int code, String... arguments) {
    PrintStream out = System.out;
    PrintStream err = System.err;
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    PrintStream capture = new PrintStream(output, true, StandardCharsets.UTF_8);
    System.setOut(capture);
    System.setErr(capture);
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
  void checkDumpAndStatsDoNotChangeStore() throws IOException {
    byte[] before = Files.readAllBytes(log());
    assertEquals(
        "sound: 5 entries in 5 batches, 2 jobs\n", run(0, "store", "check", store.toString()));
    assertTrue(
        run(0, "store", "dump", store.toString())
            .contains("a LEASED UNSAFE leases=1 token=1 worker=w1"));
    assertTrue(run(0, "store", "stats", store.toString()).contains("DONE       1"));
    assertEquals(
        new String(before, StandardCharsets.ISO_8859_1),
        new String(Files.readAllBytes(log()), StandardCharsets.ISO_8859_1));
    assertTrue(
        run(2, "store", "check", folder.resolve("none").toString()).contains("is not a directory"));
  }

  @Test
  void cutsTornTailAndRepairSavesJobsBeforeDamage() throws IOException {
    byte[] content = Files.readAllBytes(log());
    Files.write(log(), Arrays.copyOf(content, content.length - 3));
    assertTrue(run(0, "store", "check", store.toString()).contains("never synced"));
    JobTable table = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(store);
        WriteAheadLog log = WriteAheadLog.open(disk, 1 << 20, table::replay)) {
      assertTrue(log.recovery().tornBytes() > 0);
      assertEquals(JobState.LEASED, table.job("b").orElseThrow().state());
      log.commit(List.of(new LogRecord.Tokens(9)));
    }
    content = Files.readAllBytes(log());
    content[content.length / 2] ^= 4;
    Files.write(log(), content);
    String report = run(StoreCommand.DAMAGED, "store", "check", store.toString());
    assertTrue(report.matches("(?s).*log-0000000000000001: offset \\d+: .*"), report);
    Path repaired = folder.resolve("repaired");
    assertTrue(
        run(0, "store", "repair", store.toString(), repaired.toString())
            .contains("stopped at log-"));
    assertTrue(run(0, "store", "check", repaired.toString()).startsWith("sound"));
    // The damaged part may contain leases of the saved jobs: no saved job may start again, and no
    // token may be granted twice.
    JobTable saved = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openReadOnly(repaired)) {
      WriteAheadLog.inspect(disk, saved::replay);
      assertFalse(saved.jobs().isEmpty());
      for (Job job : saved.jobs()) {
        assertEquals(JobState.IN_DOUBT, job.state());
        assertFalse(saved.lease(job.id(), "w3", 10, 0).allowed());
      }
      JobTable reloaded = new JobTable(SETTINGS);
      saved.snapshot().forEach(reloaded::replay);
      assertEquals(saved.snapshot(), reloaded.snapshot());
      assertEquals(JobState.IN_DOUBT, reloaded.jobs().iterator().next().state());
      assertTrue(reloaded.highestToken() > 1000);
    }
  }

  @Test
  void rejectsSecondProcessInSameDirectory() throws IOException {
    try (FileSystemStorage locked = FileSystemStorage.openExclusive(store)) {
      assertFalse(locked.list().isEmpty());
      assertThrows(IOException.class, () -> FileSystemStorage.openExclusive(store));
    }
    FileSystemStorage.openExclusive(store).close();
  }

  @Test
  void jobStatesDependOnNoStorageClockOrThread() {
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
