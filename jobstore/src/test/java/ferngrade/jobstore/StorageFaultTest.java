package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.Idempotency;
import ferngrade.jobstore.FaultInjectingStorage.DiskFault;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against committed records that are lost or duplicated when the disk fails temporarily, and
 * against failed commits that cannot be repeated.
 */
class StorageFaultTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 400, 1e9, 4, 10, 100);

  /** A log with two batches as written by the version that could not abandon logs. */
  private static final String EXPECTED_LOG =
      "464e474c4f4700010000000000000001000000272863f90c00000000000000"
          + "0100000023010001610100016b404900000000000000000000401c00000000000000000003010203000000"
          + "1b12ea03a40000000000000002000000170200016100017700000000000000014020000000000000";

  private static final int SMALL_LOG_BYTES = 150;
  private static final int LARGE_LOG_BYTES = 1 << 20;

  private final FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
  private final List<String> acknowledged = new ArrayList<>();

  private static WriteAheadLog open(FaultInjectingStorage disk, int logBytes) throws IOException {
    return WriteAheadLog.open(disk, logBytes, replayed -> {});
  }

  private static List<LogRecord> job(String id) {
    return new JobTable(SETTINGS)
        .accept(new JobSubmission(id, Idempotency.KEYED, "key " + id, 50, new byte[] {1, 2, 3}), 7)
        .records();
  }

  private static List<String> recovered(FaultInjectingStorage disk) throws IOException {
    JobTable table = new JobTable(SETTINGS);
    WriteAheadLog.open(disk, LARGE_LOG_BYTES, table::replay).close();
    return table.jobs().stream().map(Job::id).toList();
  }

  /** Repeats the commit of a job until it succeeds and returns the number of failures. */
  private int commit(WriteAheadLog log, String id) throws IOException {
    for (int failures = 0; ; failures++) {
      try {
        log.commit(job(id));
        acknowledged.add(id);
        return failures;
      } catch (DiskFault retried) {
        assertTrue(failures < 100, "the commit still fails after 100 attempts");
      }
    }
  }

  private static void compact(WriteAheadLog log, FaultInjectingStorage disk) throws IOException {
    try {
      LogCompactor.compact(disk, log.logNumber());
    } catch (DiskFault retried) {
      // Ignored: after a failed compaction the logs are kept.
    }
  }

  @ParameterizedTest
  @EnumSource(Operation.class)
  void keepsCommittedRecordsWhenAnyOperationFailsTemporarily(Operation operation)
      throws IOException {
    for (Errno errno : Errno.values()) {
      for (int run = 0; run < 400; run++) {
        FaultInjectingStorage failing = new FaultInjectingStorage(run, 0);
        acknowledged.clear();
        WriteAheadLog log = open(failing, SMALL_LOG_BYTES);
        failing.fail(operation, errno, run / 8, 1 + run % 8);
        for (int i = 0; i < 8; i++) {
          commit(log, "job " + i);
          if (i % 3 == 2) {
            compact(log, failing);
          }
        }
        failing.clearFaults();
        LogCompactor.compact(failing, log.logNumber());
        if (run % 2 == 0) {
          failing.restorePower();
        }
        assertEquals(acknowledged, recovered(failing), operation + " " + errno + " run " + run);
        failing.restorePower();
        assertEquals(
            acknowledged,
            recovered(failing),
            operation + " " + errno + " run " + run + ", second recovery");
      }
    }
  }

  @Test
  void cutsTornWriteAfterRestartOrRepeatsItInNextLog() throws IOException {
    int length = 16 + 4 + 60;
    for (int tornAt = 0; tornAt <= length; tornAt++) {
      FaultInjectingStorage killed = new FaultInjectingStorage(tornAt, 0);
      WriteAheadLog log = open(killed, LARGE_LOG_BYTES);
      log.commit(job("a"));
      killed.tearWritesAt(tornAt);
      killed.fail(Operation.WRITE, Errno.ENOSPC, 0, 1);
      assertThrows(DiskFault.class, () -> log.commit(job("b")));
      killed.restartProcess();
      List<String> recoveredJobs = recovered(killed);
      assertTrue(
          recoveredJobs.equals(List.of("a")) || recoveredJobs.equals(List.of("a", "b")),
          tornAt + ": " + recoveredJobs);
      killed.restorePower();
      assertEquals(recoveredJobs, recovered(killed), "a second recovery finds the same jobs");

      FaultInjectingStorage continuing = new FaultInjectingStorage(tornAt, 0);
      acknowledged.clear();
      WriteAheadLog other = open(continuing, LARGE_LOG_BYTES);
      commit(other, "a");
      continuing.tearWritesAt(tornAt);
      continuing.fail(Operation.WRITE, Errno.ENOSPC, 0, 2);
      assertEquals(2, commit(other, "b"));
      commit(other, "c");
      assertEquals(acknowledged, recovered(continuing), "torn at " + tornAt);
      continuing.restorePower();
      assertEquals(acknowledged, recovered(continuing), "torn at " + tornAt);
    }
  }

  @Test
  void snapshotTakesLastBatchOfAbandonedLogFromNextLog() throws IOException {
    WriteAheadLog log = open(disk, LARGE_LOG_BYTES);
    commit(log, "a");
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    assertThrows(DiskFault.class, () -> log.commit(job("never repeated")));
    commit(log, "b");
    assertTrue(LogCompactor.compact(disk, log.logNumber()));
    commit(log, "c");
    assertEquals(List.of("a", "b", "c"), recovered(disk));
  }

  @Test
  void reportsTornTailNotRepeatedInNextLogAsDamage() throws IOException {
    WriteAheadLog log = open(disk, SMALL_LOG_BYTES);
    while (log.logNumber() == 1) {
      commit(log, "job " + acknowledged.size());
    }
    commit(log, "last");
    String first = LogFiles.logName(1);
    disk.flipBit(first, disk.read(first).length - 1);
    CorruptLogException damage = assertThrows(CorruptLogException.class, () -> recovered(disk));
    assertEquals(first, damage.file());
  }

  @Test
  void recoveryRewritesUnsyncedRecordsItReplays() throws IOException {
    WriteAheadLog log = open(disk, LARGE_LOG_BYTES);
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    assertThrows(DiskFault.class, () -> log.commit(job("a")));
    disk.restartProcess();
    assertEquals(List.of("a"), recovered(disk), "the page cache still has the record");
    disk.restorePower();
    assertEquals(List.of("a"), recovered(disk), "the recovery has made the record durable");
  }

  @Test
  void readsAndWritesFilesOfEarlierVersion() throws IOException {
    JobTable table = new JobTable(SETTINGS);
    WriteAheadLog log = open(disk, LARGE_LOG_BYTES);
    log.commit(
        table
            .accept(new JobSubmission("a", Idempotency.KEYED, "k", 50, new byte[] {1, 2, 3}), 7)
            .records());
    log.commit(table.lease("a", "w", 8, 0).records());
    String name = LogFiles.logName(1);
    String written = HexFormat.of().formatHex(disk.read(name));
    assertEquals(EXPECTED_LOG, written);
    assertEquals(List.of("a"), recovered(disk));
    assertEquals(
        EXPECTED_LOG,
        HexFormat.of().formatHex(disk.read(name)),
        "a recovery does not change the file");
    assertEquals(
        LogFiles.HEADER_BYTES, disk.read(LogFiles.logName(2)).length, "the next log is empty");
  }
}
