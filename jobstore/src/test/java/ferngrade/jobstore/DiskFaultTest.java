package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.Idempotency;
import ferngrade.jobstore.FaultyDisk.DiskFault;
import ferngrade.jobstore.FaultyDisk.Errno;
import ferngrade.jobstore.FaultyDisk.Operation;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A journal whose disk fails for a while: what was committed is there once, and what was not is
 * committed later.
 */
class DiskFaultTest {
  private static final Ledger.Terms TERMS = new Ledger.Terms(100, 400, 1e9, 4, 10, 100);

  /** A log with two batches, as it was written before logs could be abandoned. */
  private static final String WRITTEN =
      "464e474c4f4700010000000000000001000000272863f90c00000000000000"
          + "0100000023010001610100016b404900000000000000000000401c00000000000000000003010203000000"
          + "1b12ea03a40000000000000002000000170200016100017700000000000000014020000000000000";

  private static final int SMALL_LOG = 150;
  private static final int LARGE_LOG = 1 << 20;

  private final FaultyDisk disk = new FaultyDisk(1, 0);
  private final List<String> acknowledged = new ArrayList<>();

  private static Journal open(FaultyDisk disk, int logBytes) throws IOException {
    return Journal.open(disk, logBytes, entry -> {}, found -> {});
  }

  private static List<Entry> job(String id) {
    return new Ledger(TERMS)
        .accept(id, Idempotency.KEYED, "key " + id, 50, new byte[] {1, 2, 3}, 7)
        .entries();
  }

  private static List<String> recovered(FaultyDisk disk) throws IOException {
    Ledger ledger = new Ledger(TERMS);
    Journal.open(disk, LARGE_LOG, ledger::replay, found -> {}).close();
    return ledger.jobs().stream().map(Job::id).toList();
  }

  /** Commits a job, again and again until that works; says how often it failed. */
  private int commit(Journal journal, String id) throws IOException {
    for (int failures = 0; ; failures++) {
      try {
        journal.commit(job(id));
        acknowledged.add(id);
        return failures;
      } catch (DiskFault notYet) {
        assertTrue(failures < 100, "never again");
      }
    }
  }

  private static void compact(Journal journal, FaultyDisk disk) throws IOException {
    try {
      Journal.compact(disk, journal.logNumber());
    } catch (DiskFault notYet) {
      // The logs stay.
    }
  }

  @ParameterizedTest
  @EnumSource(Operation.class)
  void everyOperationMayFailForAWhileAtAnyTime(Operation operation) throws IOException {
    for (Errno errno : Errno.values()) {
      for (int run = 0; run < 400; run++) {
        FaultyDisk failing = new FaultyDisk(run, 0);
        acknowledged.clear();
        Journal journal = open(failing, SMALL_LOG);
        failing.fail(operation, errno, run / 8, 1 + run % 8);
        for (int i = 0; i < 8; i++) {
          commit(journal, "job " + i);
          if (i % 3 == 2) {
            compact(journal, failing);
          }
        }
        failing.heal();
        Journal.compact(failing, journal.logNumber());
        if (run % 2 == 0) {
          failing.powerUp();
        }
        assertEquals(acknowledged, recovered(failing), operation + " " + errno + " run " + run);
        failing.powerUp();
        assertEquals(
            acknowledged, recovered(failing), operation + " " + errno + " run " + run + ", later");
      }
    }
  }

  @Test
  void aWriteThatIsTornAtAnyByteIsCutAfterAKillAndWrittenAnewInTheNextLogElse() throws IOException {
    int length = 16 + 4 + 60;
    for (int torn = 0; torn <= length; torn++) {
      FaultyDisk killed = new FaultyDisk(torn, 0);
      Journal journal = open(killed, LARGE_LOG);
      journal.commit(job("a"));
      killed.tearWritesAt(torn);
      killed.fail(Operation.WRITE, Errno.ENOSPC, 0, 1);
      assertThrows(DiskFault.class, () -> journal.commit(job("b")));
      killed.restartProcess();
      List<String> found = recovered(killed);
      assertTrue(
          found.equals(List.of("a")) || found.equals(List.of("a", "b")), torn + ": " + found);
      killed.powerUp();
      assertEquals(found, recovered(killed), "what a recovery has said stays so");

      FaultyDisk going = new FaultyDisk(torn, 0);
      acknowledged.clear();
      Journal other = open(going, LARGE_LOG);
      commit(other, "a");
      going.tearWritesAt(torn);
      going.fail(Operation.WRITE, Errno.ENOSPC, 0, 2);
      assertEquals(2, commit(other, "b"));
      commit(other, "c");
      assertEquals(acknowledged, recovered(going), "torn at " + torn);
      going.powerUp();
      assertEquals(acknowledged, recovered(going), "torn at " + torn);
    }
  }

  @Test
  void aSnapshotOfAnAbandonedLogHasItsLastBatchAsTheNextLogHasIt() throws IOException {
    Journal journal = open(disk, LARGE_LOG);
    commit(journal, "a");
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    assertThrows(DiskFault.class, () -> journal.commit(job("never asked for again")));
    commit(journal, "b");
    assertTrue(Journal.compact(disk, journal.logNumber()));
    commit(journal, "c");
    assertEquals(List.of("a", "b", "c"), recovered(disk));
  }

  @Test
  void aTornTailThatTheNextLogDoesNotTakeUpIsDamage() throws IOException {
    Journal journal = open(disk, SMALL_LOG);
    while (journal.logNumber() == 1) {
      commit(journal, "job " + acknowledged.size());
    }
    commit(journal, "last");
    String first = Journal.name("log-", 1);
    disk.flip(first, disk.read(first).length - 1);
    DamagedException damage = assertThrows(DamagedException.class, () -> recovered(disk));
    assertEquals(first, damage.file());
  }

  @Test
  void whatARecoveryReadsIsWrittenAnewBeforeItIsBelieved() throws IOException {
    Journal journal = open(disk, LARGE_LOG);
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    assertThrows(DiskFault.class, () -> journal.commit(job("a")));
    disk.restartProcess();
    assertEquals(List.of("a"), recovered(disk), "the system still has it in memory");
    disk.powerUp();
    assertEquals(List.of("a"), recovered(disk), "and now it lasts");
  }

  @Test
  void filesAreByteForByteAsBeforeAndAreRead() throws IOException {
    Ledger ledger = new Ledger(TERMS);
    Journal journal = open(disk, LARGE_LOG);
    journal.commit(
        ledger.accept("a", Idempotency.KEYED, "k", 50, new byte[] {1, 2, 3}, 7).entries());
    journal.commit(ledger.lease("a", "w", 8, 0).entries());
    String log = Journal.name("log-", 1);
    String written = HexFormat.of().formatHex(disk.read(log));
    assertEquals(WRITTEN, written);
    assertEquals(List.of("a"), recovered(disk));
    assertEquals(
        WRITTEN, HexFormat.of().formatHex(disk.read(log)), "a recovery leaves it as it was");
    assertEquals(
        Journal.HEADER, disk.read(Journal.name("log-", 2)).length, "the next log is empty");
  }
}
