package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.Idempotency;
import ferngrade.jobstore.FaultInjectingStorage.DiskFault;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import ferngrade.jobstore.FaultInjectingStorage.PowerLost;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against acknowledged changes that are lost or jobs that run twice after a crash. Crashes a
 * store after each write, sync and name change of a random history and checks the recovered state.
 * {@code ferngrade.crashes} sets the number of crash points; a failure names its seed and step.
 */
class CrashPointTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 400, 1e9, 4, 10, 100);
  private static final int CRASHES = Integer.getInteger("ferngrade.crashes", 20_000);

  /**
   * The state outside the store: the changes acknowledged to clients and the actual runs on
   * workers.
   */
  private static final class ExternalState {
    final Set<String> accepted = new HashSet<>();
    final Map<String, Long> leased = new HashMap<>();
    final Set<String> returned = new HashSet<>();
    final Map<String, String> results = new HashMap<>();
    final Map<String, Integer> runs = new HashMap<>();
    long highestToken;
  }

  /** One process of a store, from a recovery to a crash. */
  private static final class StoreProcess {
    final FaultInjectingStorage disk;
    final ExternalState external;
    final SplittableRandom random;
    final JobTable table = new JobTable(SETTINGS);
    final WriteAheadLog log;

    /** Whether the disk fails at random. */
    final boolean faults;

    double clock;
    int nextJobNumber;

    StoreProcess(
        FaultInjectingStorage disk,
        ExternalState external,
        SplittableRandom random,
        double clock,
        int nextJobNumber)
        throws IOException {
      this(disk, external, random, clock, nextJobNumber, false);
    }

    StoreProcess(
        FaultInjectingStorage disk,
        ExternalState external,
        SplittableRandom random,
        double clock,
        int nextJobNumber,
        boolean faults)
        throws IOException {
      this.faults = faults;
      this.disk = disk;
      this.external = external;
      this.random = random;
      this.clock = clock;
      this.nextJobNumber = nextJobNumber;
      log = WriteAheadLog.open(disk, 500, table::replay);
      table.recovered(0);
    }

    /** Stores a change, which may be acknowledged afterwards. */
    void commit(JobChange change) throws IOException {
      if (faults && random.nextInt(4) == 0) {
        disk.tearWritesAt(random.nextInt(80));
        disk.fail(
            Operation.values()[random.nextInt(Operation.values().length)],
            Errno.values()[random.nextInt(2)],
            random.nextInt(3),
            1 + random.nextInt(3));
      }
      boolean stored = change.records().isEmpty();
      while (!stored) {
        try {
          log.commit(change.records());
          stored = true;
        } catch (DiskFault expected) {
          assertTrue(faults, "the disk failed although no fault was scheduled");
        }
      }
      if (random.nextInt(12) == 0) {
        try {
          LogCompactor.compact(disk, log.logNumber());
        } catch (DiskFault expected) {
          assertTrue(faults, "the disk failed although no fault was scheduled");
        }
      }
    }

    void runSteps(int stepCount) throws IOException {
      for (int i = 0; i < stepCount; i++) {
        // The clock jumps at random, by up to an hour forward or backward.
        clock +=
            random.nextInt(20) == 0 ? random.nextInt(7_200_000) - 3_600_000 : random.nextInt(30);
        if (random.nextInt(3) == 0) {
          acceptJob();
        } else {
          advanceRandomJob();
        }
      }
    }

    private void acceptJob() throws IOException {
      String id = "j" + nextJobNumber++;
      Idempotency idempotency = Idempotency.values()[random.nextInt(3)];
      JobChange change =
          table.accept(
              new JobSubmission(id, idempotency, "k" + id, 1000, new byte[random.nextInt(40)]),
              clock);
      commit(change);
      external.accepted.add(id);
    }

    private void advanceRandomJob() throws IOException {
      List<Job> jobs = new ArrayList<>(table.jobs());
      if (jobs.isEmpty()) {
        return;
      }
      Job job = jobs.get(random.nextInt(jobs.size()));
      String id = job.id();
      switch (job.state()) {
        case ACCEPTED -> {
          JobChange change = table.lease(id, "w", clock, 0);
          if (change.allowed()) {
            commit(change);
            assertTrue(
                job.token() > external.highestToken,
                "token " + job.token() + " after " + external.highestToken);
            external.highestToken = job.token();
            external.leased.put(id, job.token());
            external.returned.remove(id);
            if (random.nextInt(3) > 0) {
              // The worker starts the job immediately; its report to the store may be lost.
              external.runs.merge(id, 1, Integer::sum);
            }
          }
        }
        case LEASED, STARTED, IN_DOUBT -> reportOutcome(job);
        default -> {}
      }
    }

    private void reportOutcome(Job job) throws IOException {
      String id = job.id();
      Long token = external.leased.get(id);
      if (token == null || token != job.token()) {
        return;
      }
      boolean ran = external.runs.getOrDefault(id, 0) > 0;
      int choice = random.nextInt(5);
      if (choice == 0 && ran) {
        commit(table.started(id, token));
      } else if (choice == 1 && ran) {
        commit(table.done(id, token, "result of " + id, clock));
        external.results.put(id, "result of " + id);
      } else if (choice == 2 && ran) {
        commit(table.failed(id, token, "broken", clock, random.nextDouble()));
      } else if (choice == 3 && !ran) {
        JobChange change = table.returned(id, token, clock, random.nextDouble());
        commit(change);
        external.returned.add(id);
      } else if (choice == 4) {
        // All leases expire.
        commit(table.expire(clock, 1e12, random.nextDouble()));
      }
      if (job.state() == JobState.FAILED && table.job(id).isPresent()) {
        external.results.put(id, job.result());
      }
    }
  }

  private static void check(StoreProcess process, ExternalState external) {
    for (String id : external.accepted) {
      assertTrue(process.table.job(id).isPresent(), id + " was accepted but is lost");
      Job job = process.table.job(id).orElseThrow();
      String result = external.results.get(id);
      if (result != null) {
        assertEquals(result, job.result(), "the result of " + id + " has changed");
      }
      boolean hasRun = external.runs.getOrDefault(id, 0) > 0;
      if (hasRun && job.idempotency() == Idempotency.UNSAFE && job.state() == JobState.ACCEPTED) {
        assertFalse(
            process.table.lease(id, "again", 1e15, 0).allowed(),
            id + " has run and may start again");
      }
      assertTrue(
          external.runs.getOrDefault(id, 0) <= 1 || job.idempotency() != Idempotency.UNSAFE,
          id + " has run twice");
    }
    assertTrue(
        process.table.highestToken() >= external.highestToken, "a token may be granted twice");
  }

  @Test
  void losesNoJobAndRunsNoneTwiceAfterPowerLossAtAnyStep() throws IOException {
    crashEverywhere(false, CRASHES);
  }

  @Test
  void losesNoJobAndRunsNoneTwiceWhenProcessOrPowerFailsDuringDiskFaults() throws IOException {
    crashEverywhere(true, CRASHES / 2);
  }

  private static void crashEverywhere(boolean faults, int crashPoints) throws IOException {
    int crashes = 0;
    int recoveries = 0;
    for (long seed = 1; crashes < crashPoints; seed++) {
      long stepCount = countSteps(seed, faults);
      for (long step = 0; step < stepCount && crashes < crashPoints; step++) {
        recoveries += crash(seed, step, faults);
        crashes++;
      }
    }
    assertTrue(recoveries > crashes, "some recoveries must be interrupted as well");
    System.out.println(
        "crash points: " + crashes + ", recoveries: " + recoveries + ", disk fails: " + faults);
  }

  private static long countSteps(long seed, boolean faults) throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
    StoreProcess process =
        new StoreProcess(disk, new ExternalState(), new SplittableRandom(seed), 1e12, 0, faults);
    process.runSteps(60);
    return disk.steps();
  }

  /**
   * Runs the history of a seed up to a crash at a step, and then through further crashes, some of
   * them during a recovery. Returns the number of recoveries.
   */
  private static int crash(long seed, long step, boolean faults) throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
    ExternalState external = new ExternalState();
    SplittableRandom random = new SplittableRandom(seed);
    disk.losePowerAfter(step);
    int recoveries = 0;
    int nextJobNumber = 0;
    for (int i = 0; i < 3; i++) {
      try {
        StoreProcess process =
            new StoreProcess(disk, external, random, 1e12 + i * 1000, nextJobNumber, faults);
        recoveries++;
        nextJobNumber = 1000 * (i + 1);
        check(process, external);
        process.runSteps(60);
        break;
      } catch (PowerLost | DiskFault crash) {
        disk.clearFaults();
        if (faults && random.nextBoolean()) {
          disk.restartProcess();
        } else {
          disk.restorePower();
        }
        disk.losePowerAfter(random.nextInt(40));
      } catch (AssertionError | RuntimeException failure) {
        throw new AssertionError(
            "seed " + seed + ", power lost at step " + step + ", process " + i, failure);
      }
    }
    disk.clearFaults();
    disk.restorePower();
    StoreProcess last = new StoreProcess(disk, external, random, 2e12, 9000);
    check(last, external);
    return recoveries + 1;
  }

  @Test
  void reportsFlippedBitInSyncedDataUnlessInLastBatch() throws IOException {
    int detected = 0;
    for (long seed = 1; seed <= 200; seed++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
      StoreProcess process =
          new StoreProcess(disk, new ExternalState(), new SplittableRandom(seed), 1e12, 0);
      process.runSteps(40);
      long last = lastBatch(disk);
      SplittableRandom damageRandom = new SplittableRandom(seed);
      List<String> files = disk.list().stream().filter(name -> !name.endsWith(".tmp")).toList();
      String file = files.get(damageRandom.nextInt(files.size()));
      int offset = damageRandom.nextInt(disk.read(file).length);
      disk.flipBit(file, offset);
      try {
        JobTable recovered = new JobTable(SETTINGS);
        WriteAheadLog.inspect(disk, recovered::replay);
        // No error is expected if the flipped bit is in the last batch, which then looks torn, or
        // in a file that a snapshot has replaced.
        boolean replaced =
            disk.list().stream()
                .anyMatch(
                    name ->
                        name.startsWith("snap-")
                            && !name.endsWith(".tmp")
                            && name.substring(5).compareTo(file.substring(file.indexOf('-') + 1))
                                > 0);
        assertTrue(
            replaced
                || (file.equals(
                        files.stream()
                            .filter(name -> name.startsWith("log-"))
                            .reduce((a, b) -> b)
                            .orElseThrow())
                    && (offset >= last || disk.read(file).length == LogFiles.HEADER_BYTES)),
            "seed " + seed + ": " + file + " at " + offset + " was not reported");
      } catch (CorruptLogException damaged) {
        detected++;
        assertEquals(file, damaged.file(), "seed " + seed);
        assertTrue(damaged.offset() <= offset, "seed " + seed);
      }
    }
    assertTrue(detected > 100, "found " + detected);
  }

  /** Returns the offset of the last batch in the last log. */
  private static long lastBatch(FaultInjectingStorage disk) {
    String log =
        disk.list().stream()
            .filter(name -> name.startsWith("log-"))
            .reduce((a, b) -> b)
            .orElseThrow();
    ByteBuffer content = ByteBuffer.wrap(disk.read(log));
    int offset = LogFiles.HEADER_BYTES;
    int last = offset;
    while (offset < content.capacity()) {
      last = offset;
      offset += 16 + content.getInt(offset);
    }
    return last;
  }

  @Test
  void reportsSkippedSyncOnceLaterDataIsSynced() throws IOException {
    int damaged = 0;
    for (long seed = 1; seed <= 3000; seed++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0.02);
      ExternalState external = new ExternalState();
      SplittableRandom random = new SplittableRandom(seed);
      try {
        StoreProcess process = new StoreProcess(disk, external, random, 1e12, 0);
        disk.losePowerAfter(20 + random.nextInt(80));
        process.runSteps(200);
      } catch (PowerLost crash) {
        disk.restorePower();
      }
      try {
        check(new StoreProcess(disk, external, random, 2e12, 9000), external);
      } catch (CorruptLogException detected) {
        damaged++;
      } catch (AssertionError missing) {
        // If the last sync was skipped, the store looks as if that sync had never returned. A
        // skipped earlier sync must be detected.
        assertTrue(disk.skippedSyncs() > 0, "seed " + seed + ": " + missing.getMessage());
      }
    }
    assertTrue(damaged > 0, "no skipped sync was ever detected");
  }

  @Test
  void continuesInNewFileAfterDiskWasFull() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    ExternalState external = new ExternalState();
    StoreProcess process = new StoreProcess(disk, external, new SplittableRandom(1), 1e12, 0);
    process.runSteps(50);
    JobChange change =
        process.table.accept(
            new JobSubmission("late", Idempotency.UNSAFE, "", 0, new byte[9]), 1e12);
    long before = process.log.logNumber();
    disk.setFull(true);
    for (int i = 0; i < 3; i++) {
      assertThrows(IOException.class, () -> process.log.commit(change.records()));
    }
    disk.setFull(false);
    process.log.commit(change.records());
    external.accepted.add("late");
    assertEquals(
        before + 1,
        process.log.logNumber(),
        "the file of the failed write must not be written again");
    process.runSteps(50);
    disk.restorePower();
    check(new StoreProcess(disk, external, new SplittableRandom(2), 2e12, 9000), external);
  }
}
