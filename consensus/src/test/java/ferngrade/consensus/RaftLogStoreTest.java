package ferngrade.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.codec.Codec;
import ferngrade.jobstore.CorruptLogException;
import ferngrade.jobstore.FaultInjectingStorage;
import ferngrade.jobstore.FaultInjectingStorage.DiskFault;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import io.microraft.model.impl.log.DefaultLogEntryOrBuilder;
import io.microraft.model.impl.log.DefaultRaftGroupMembersViewOrBuilder;
import io.microraft.model.impl.log.DefaultSnapshotChunkOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftEndpointPersistentStateOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against the loss of votes and entries on a disk that loses power, is full, or returns
 * damaged data.
 */
class RaftLogStoreTest {
  private static final RaftGroupMembersView MEMBERS =
      new DefaultRaftGroupMembersViewOrBuilder()
          .setLogIndex(0)
          .setMembers(List.of(new RaftMemberId("a"), new RaftMemberId("b")))
          .setVotingMembers(List.of(new RaftMemberId("a"), new RaftMemberId("b")))
          .build();

  private final List<IOException> failures = new ArrayList<>();

  private RaftLogStore open(FaultInjectingStorage disk) throws IOException {
    return RaftLogStore.open(disk, LogFormat.codec(List.of()), 4_000, failures::add);
  }

  private static void begin(RaftLogStore log) throws IOException {
    log.persistAndFlushLocalEndpoint(
        new DefaultRaftEndpointPersistentStateOrBuilder()
            .setLocalEndpoint(new RaftMemberId("a"))
            .setVoting(true)
            .build());
    log.persistAndFlushInitialGroupMembers(MEMBERS);
  }

  private static LogEntry entry(long index, String operation) {
    return new DefaultLogEntryOrBuilder()
        .setIndex(index)
        .setTerm(1)
        .setOperation(operation)
        .build();
  }

  private static void vote(RaftLogStore log, int term, String voted) throws IOException {
    log.persistAndFlushTerm(
        new DefaultRaftTermPersistentStateOrBuilder()
            .setTerm(term)
            .setVotedFor(new RaftMemberId(voted))
            .build());
  }

  @Test
  void distinguishesEmptyDiskFromOneWithState() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    RaftLogStore log = open(disk);
    assertTrue(log.restored().isEmpty());
    begin(log);
    disk.restorePower();
    assertEquals(
        "a",
        open(disk)
            .restored()
            .orElseThrow()
            .getLocalEndpointPersistentState()
            .getLocalEndpoint()
            .getId());
  }

  @Test
  void flushedEntriesVoteAndTruncationsSurvivePowerLoss() throws IOException {
    for (long seed = 1; seed <= 300; seed++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
      SplittableRandom random = new SplittableRandom(seed);
      RaftLogStore log = open(disk);
      begin(log);
      List<String> flushed = new ArrayList<>();
      int term = 0;
      disk.losePowerAfter(random.nextInt(60));
      List<String> now = new ArrayList<>(flushed);
      List<String> attempted = now;
      try {
        for (int step = 0; step < 40; step++) {
          now = new ArrayList<>(flushed);
          if (now.size() > 2 && random.nextInt(4) == 0) {
            int cut = now.size() - 1;
            log.truncateLogEntriesFrom(cut + 1);
            now = new ArrayList<>(now.subList(0, cut));
          }
          List<LogEntry> batch = new ArrayList<>();
          for (int i = 0; i <= random.nextInt(3); i++) {
            now.add("e" + step + "-" + i);
            batch.add(entry(now.size(), now.get(now.size() - 1)));
          }
          attempted = now;
          log.persistLogEntries(batch);
          log.flush();
          flushed = now;
          vote(log, term + 1, "b");
          term++;
        }
      } catch (FaultInjectingStorage.PowerLost lost) {
        assertEquals(1, failures.size(), "the failure is reported once");
        assertThrows(IOException.class, log::flush, "nothing is written after a failure");
      }
      failures.clear();
      disk.restorePower();
      RestoredRaftState restored = open(disk).restored().orElseThrow();
      List<String> entries =
          restored.getLogEntries().stream().map(entry -> (String) entry.getOperation()).toList();
      assertTrue(
          entries.equals(flushed) || entries.equals(attempted),
          "seed " + seed + ": " + entries + " is neither " + flushed + " nor " + attempted);
      int foundTerm = restored.getTermPersistentState().getTerm();
      assertTrue(
          foundTerm == term || foundTerm == term + 1, "seed " + seed + ": term " + foundTerm);
      assertEquals(
          foundTerm == 0 ? null : "b",
          foundTerm == 0 ? null : restored.getTermPersistentState().getVotedFor().getId());
    }
  }

  @Test
  void rewritesFileAfterSnapshotReplacesBeginningOfLog() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(3, 0);
    RaftLogStore log = open(disk);
    begin(log);
    for (int i = 1; i <= 200; i++) {
      log.persistLogEntries(List.of(entry(i, "entry with some length to it " + i)));
      log.flush();
      if (i == 100) {
        log.persistSnapshotChunk(
            new DefaultSnapshotChunkOrBuilder()
                .setIndex(90)
                .setTerm(1)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(MEMBERS)
                .setOperation("all until 90")
                .build());
        log.flush();
        log.truncateLogEntriesUntil(90);
        log.flush();
      }
    }
    disk.restorePower();
    assertTrue(!disk.list().get(0).endsWith("001"), disk.list().toString());
    RestoredRaftState restored = open(disk).restored().orElseThrow();
    assertEquals(1, disk.list().size(), "earlier files are deleted");
    assertEquals(90, restored.getSnapshotEntry().getIndex());
    assertEquals(110, restored.getLogEntries().size());
    assertEquals(91, restored.getLogEntries().get(0).getIndex());
  }

  @Test
  void reportsFullDiskOnceAndWritesNothingMore() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(4, 0);
    RaftLogStore log = open(disk);
    begin(log);
    disk.setFull(true);
    assertThrows(IOException.class, () -> vote(log, 5, "b"));
    disk.setFull(false);
    assertThrows(IOException.class, () -> vote(log, 6, "b"));
    assertEquals(1, failures.size());
    disk.restorePower();
    assertEquals(0, open(disk).restored().orElseThrow().getTermPersistentState().getTerm());
  }

  /** Retries until the log is usable again; returns the number of failed attempts. */
  private static int continueAfterFault(RaftLogStore log) throws IOException {
    for (int failures = 0; ; failures++) {
      try {
        log.continueInNewFile();
        return failures;
      } catch (DiskFault stillFailing) {
        assertThrows(
            IOException.class, log::flush, "nothing is written before a new file is created");
        assertTrue(failures < 100, "the log does not become usable again");
      }
    }
  }

  /**
   * Appends the entries up to this index, with one flush and one vote each, while the disk may
   * fail.
   */
  private static void append(RaftLogStore log, int from, int until) throws IOException {
    for (int i = from; i <= until; i++) {
      try {
        log.persistLogEntries(List.of(entry(i, "entry " + i)));
        log.flush();
      } catch (DiskFault failed) {
        continueAfterFault(log);
      }
      try {
        vote(log, i, "b");
      } catch (DiskFault failed) {
        continueAfterFault(log);
      }
    }
  }

  private void assertHolds(FaultInjectingStorage disk, int entries, String context)
      throws IOException {
    RestoredRaftState restored = open(disk).restored().orElseThrow();
    assertEquals(entries, restored.getTermPersistentState().getTerm(), context);
    assertEquals(entries, restored.getLogEntries().size(), context);
    for (int i = 0; i < entries; i++) {
      assertEquals(i + 1, restored.getLogEntries().get(i).getIndex(), context);
    }
  }

  @ParameterizedTest
  @EnumSource(Operation.class)
  void continuesInNewFileAfterTemporaryFaultOfAnyOperation(Operation operation) throws IOException {
    for (Errno errno : Errno.values()) {
      for (int run = 0; run < 200; run++) {
        FaultInjectingStorage disk = new FaultInjectingStorage(run, 0);
        RaftLogStore log = RaftLogStore.open(disk, LogFormat.codec(List.of()), 300, failures::add);
        begin(log);
        log.persistSnapshotChunk(
            new DefaultSnapshotChunkOrBuilder()
                .setIndex(0)
                .setTerm(1)
                .setSnapshotChunkIndex(0)
                .setSnapshotChunkCount(1)
                .setGroupMembersView(MEMBERS)
                .setOperation("nothing")
                .build());
        log.flush();
        disk.fail(operation, errno, run / 8, 1 + run % 8);
        append(log, 1, 12);
        disk.clearFaults();
        String context = operation + " " + errno + " run " + run;
        if (run % 2 == 0) {
          disk.restorePower();
        }
        assertHolds(disk, 12, context);
        disk.restorePower();
        assertHolds(disk, 12, context + ", later");
      }
    }
    // The log does not report a failed deletion of old files. The other operations fail whenever
    // the log writes or creates a file, so the log reports many failures.
    assertTrue(
        operation == Operation.DELETE || failures.size() > 20, operation + ": " + failures.size());
  }

  @Test
  void survivesPowerLossAtAnyStepWhileSyncsFail() throws IOException {
    for (int step = 0; step < 120; step++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(step, 0);
      RaftLogStore log = open(disk);
      begin(log);
      disk.fail(Operation.SYNC, Errno.EIO, step % 7, 1 + step % 3);
      disk.losePowerAfter(step);
      int flushed = 0;
      try {
        while (flushed < 10) {
          append(log, flushed + 1, flushed + 1);
          flushed++;
        }
      } catch (FaultInjectingStorage.PowerLost lost) {
        assertTrue(flushed < 10, "all entries were flushed before the power loss");
      }
      disk.clearFaults();
      disk.restorePower();
      RestoredRaftState restored = open(disk).restored().orElseThrow();
      int entries = restored.getLogEntries().size();
      int term = restored.getTermPersistentState().getTerm();
      assertTrue(
          entries == flushed || entries == flushed + 1, step + ": " + entries + " of " + flushed);
      assertTrue(
          term == flushed || term == flushed + 1, step + ": term " + term + " of " + flushed);
    }
  }

  @Test
  void rewritesOrCutsWriteTornAtAnyByte() throws IOException {
    for (int torn = 0; torn <= 60; torn++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(torn, 0);
      RaftLogStore log = open(disk);
      begin(log);
      append(log, 1, 2);
      disk.tearWritesAt(torn);
      disk.fail(Operation.WRITE, Errno.ENOSPC, 0, 2);
      if (torn % 2 == 0) {
        append(log, 3, 3);
        assertHolds(disk, 3, "torn at " + torn);
      } else {
        assertThrows(DiskFault.class, () -> vote(log, 3, "b"));
        disk.clearFaults();
        disk.restartProcess();
        int term = open(disk).restored().orElseThrow().getTermPersistentState().getTerm();
        assertTrue(term == 2 || term == 3, torn + ": " + term);
        disk.restorePower();
        assertEquals(
            term,
            open(disk).restored().orElseThrow().getTermPersistentState().getTerm(),
            "the term must be the one that was read before");
      }
    }
  }

  @Test
  void reportsFlippedBitInSyncedDataWithFileAndOffset() throws IOException {
    int detected = 0;
    for (int offset = 0; offset < 200; offset += 5) {
      FaultInjectingStorage disk = new FaultInjectingStorage(offset, 0);
      RaftLogStore log = open(disk);
      begin(log);
      for (int i = 1; i <= 5; i++) {
        // The last entry is long, so the file ends far behind the flipped offsets. All flipped
        // offsets are below 200 and lie before the batch of the last entry. A later batch therefore
        // follows the damaged batch. The later batch proves that the damaged batch was synced and
        // is not a torn write.
        log.persistLogEntries(List.of(entry(i, "entry " + "x".repeat(i == 5 ? 500 : 10))));
        log.flush();
      }
      String file = disk.list().get(0);
      if (disk.flipBit(file, offset)) {
        CorruptLogException damage = assertThrows(CorruptLogException.class, () -> open(disk));
        assertEquals(file, damage.file());
        detected++;
      }
    }
    assertTrue(detected > 20, "detected flips: " + detected);
  }

  /**
   * The bytes of a voter's file, in hexadecimal. An earlier version wrote the file. That version
   * could not yet continue the log in a new file after a fault.
   */
  private static final String RECORDED_FILE =
      "00000002a3bdd4de00000000000000010b01000000096b3c48c400000000000000020b827d00006682610100000016ee32da"
          + "5200000000000000030b82700000000b836600826182620b836600826182620000000911613da800000000000000040b827e"
          + "0000066682620000000ab06ae33800000000000000050b826f00000203827802000000052dba26d600000000000000060b82"
          + "680002";

  @Test
  void writesFileByteForByteAsRecorded() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(6, 0);
    RaftLogStore log = open(disk);
    begin(log);
    vote(log, 3, "b");
    log.persistLogEntries(List.of(entry(1, "x")));
    log.flush();
    log.truncateLogEntriesFrom(1);
    log.flush();
    assertEquals(List.of("voter-0000000000000001"), disk.list());
    assertEquals(RECORDED_FILE, HexFormat.of().formatHex(disk.read(disk.list().get(0))));
  }

  @Test
  void rejectsCorruptedAndRandomBytes() {
    Codec codec = LogFormat.codec(List.of());
    SplittableRandom random = new SplittableRandom(5);
    byte[] valid = codec.write(entry(1, "x"));
    int rejected = 0;
    for (int i = 0; i < 5_000; i++) {
      byte[] bytes = i % 2 == 0 ? valid.clone() : new byte[1 + random.nextInt(40)];
      if (i % 2 == 1) {
        random.nextBytes(bytes);
      } else {
        bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
      }
      try {
        codec.read(bytes, 0, bytes.length);
      } catch (IOException malformed) {
        rejected++;
      }
    }
    assertTrue(rejected > 2_000, "rejected " + rejected);
  }
}
