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
 * Stops a store after every write, sync and change of names of a drawn history, recovers it, and
 * compares the recovered state with what others were notified of before. Runs in memory; the number
 * of crash points is set by {@code ferngrade.crashes}, and each failure names its seed and step.
 */
class CrashPointTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 400, 1e9, 4, 10, 100);
  private static final int CRASHES = Integer.getInteger("ferngrade.crashes", 20_000);

  /** The world outside the store: what it has acknowledged, and what workers really did. */
  private static final class World {
    final Set<String> accepted = new HashSet<>();
    final Map<String, Long> leased = new HashMap<>();
    final Set<String> returned = new HashSet<>();
    final Map<String, String> answers = new HashMap<>();
    final Map<String, Integer> runs = new HashMap<>();
    long highest;
  }

  /** One life of a store, from a recovery to a crash. */
  private static final class Life {
    final FaultInjectingStorage disk;
    final World world;
    final SplittableRandom random;
    final JobTable table = new JobTable(SETTINGS);
    final WriteAheadLog log;

    /** Whether the disk fails now and then. */
    final boolean faults;

    double clock;
    int numbers;

    Life(
        FaultInjectingStorage disk, World world, SplittableRandom random, double clock, int numbers)
        throws IOException {
      this(disk, world, random, clock, numbers, false);
    }

    Life(
        FaultInjectingStorage disk,
        World world,
        SplittableRandom random,
        double clock,
        int numbers,
        boolean faults)
        throws IOException {
      this.faults = faults;
      this.disk = disk;
      this.world = world;
      this.random = random;
      this.clock = clock;
      this.numbers = numbers;
      log = WriteAheadLog.open(disk, 500, table::replay);
      table.recovered(0);
    }

    /** Stores a change; from then on others may be notified of it. */
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
        } catch (DiskFault notYet) {
          assertTrue(faults, "the disk does not fail here");
        }
      }
      if (random.nextInt(12) == 0) {
        try {
          LogCompactor.compact(disk, log.logNumber());
        } catch (DiskFault notYet) {
          assertTrue(faults, "the disk does not fail here");
        }
      }
    }

    void play(int steps) throws IOException {
      for (int i = 0; i < steps; i++) {
        // A clock that jumps, now and then by an hour back.
        clock +=
            random.nextInt(20) == 0 ? random.nextInt(7_200_000) - 3_600_000 : random.nextInt(30);
        if (random.nextInt(3) == 0) {
          take();
        } else {
          work();
        }
      }
    }

    private void take() throws IOException {
      String id = "j" + numbers++;
      Idempotency idempotency = Idempotency.values()[random.nextInt(3)];
      JobChange change =
          table.accept(
              new JobSubmission(id, idempotency, "k" + id, 1000, new byte[random.nextInt(40)]),
              clock);
      commit(change);
      world.accepted.add(id);
    }

    private void work() throws IOException {
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
                job.token() > world.highest, "token " + job.token() + " after " + world.highest);
            world.highest = job.token();
            world.leased.put(id, job.token());
            world.returned.remove(id);
            if (random.nextInt(3) > 0) {
              // The worker begins at once; its report may never come.
              world.runs.merge(id, 1, Integer::sum);
            }
          }
        }
        case LEASED, STARTED, IN_DOUBT -> outcome(job);
        default -> {}
      }
    }

    private void outcome(Job job) throws IOException {
      String id = job.id();
      Long token = world.leased.get(id);
      if (token == null || token != job.token()) {
        return;
      }
      boolean ran = world.runs.getOrDefault(id, 0) > 0;
      int kind = random.nextInt(5);
      if (kind == 0 && ran) {
        commit(table.started(id, token));
      } else if (kind == 1 && ran) {
        commit(table.done(id, token, "result of " + id, clock));
        world.answers.put(id, "result of " + id);
      } else if (kind == 2 && ran) {
        commit(table.failed(id, token, "broken", clock, random.nextDouble()));
      } else if (kind == 3 && !ran) {
        JobChange change = table.returned(id, token, clock, random.nextDouble());
        commit(change);
        world.returned.add(id);
      } else if (kind == 4) {
        // Everybody's leases run out.
        commit(table.expire(clock, 1e12, random.nextDouble()));
      }
      if (job.state() == JobState.FAILED && table.job(id).isPresent()) {
        world.answers.put(id, job.result());
      }
    }
  }

  private static void check(Life life, World world) {
    for (String id : world.accepted) {
      assertTrue(life.table.job(id).isPresent(), id + " was accepted and is lost");
      Job job = life.table.job(id).orElseThrow();
      String answer = world.answers.get(id);
      if (answer != null) {
        assertEquals(answer, job.result(), "the answer of " + id + " has changed");
      }
      boolean mayHaveRun = world.runs.getOrDefault(id, 0) > 0;
      if (mayHaveRun
          && job.idempotency() == Idempotency.UNSAFE
          && job.state() == JobState.ACCEPTED) {
        assertFalse(
            life.table.lease(id, "again", 1e15, 0).allowed(),
            id + " has run and would start again");
      }
      assertTrue(
          world.runs.getOrDefault(id, 0) <= 1 || job.idempotency() != Idempotency.UNSAFE,
          id + " has run twice");
    }
    assertTrue(life.table.highestToken() >= world.highest, "tokens would be given out again");
  }

  @Test
  void nothingIsLostOrRunTwiceWhereverPowerGoes() throws IOException {
    crashEverywhere(false, CRASHES);
  }

  @Test
  void nothingIsLostOrRunTwiceWhereverPowerGoesOrTheProcessIsKilledWhileTheDiskFails()
      throws IOException {
    crashEverywhere(true, CRASHES / 2);
  }

  private static void crashEverywhere(boolean faults, int points) throws IOException {
    int crashes = 0;
    int lives = 0;
    for (long seed = 1; crashes < points; seed++) {
      long steps = measure(seed, faults);
      for (long at = 0; at < steps && crashes < points; at++) {
        lives += crash(seed, at, faults);
        crashes++;
      }
    }
    assertTrue(lives > crashes, "recoveries were interrupted as well");
    System.out.println(
        "crash points: " + crashes + ", recoveries: " + lives + ", disk fails: " + faults);
  }

  private static long measure(long seed, boolean faults) throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
    Life life = new Life(disk, new World(), new SplittableRandom(seed), 1e12, 0, faults);
    life.play(60);
    return disk.steps();
  }

  /**
   * Plays the history of a seed up to a step, and continues through further crashes, some of them
   * in recoveries.
   */
  private static int crash(long seed, long at, boolean faults) throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
    World world = new World();
    SplittableRandom random = new SplittableRandom(seed);
    disk.losePowerAfter(at);
    int lives = 0;
    int numbers = 0;
    for (int i = 0; i < 3; i++) {
      try {
        Life life = new Life(disk, world, random, 1e12 + i * 1000, numbers, faults);
        lives++;
        numbers = 1000 * (i + 1);
        check(life, world);
        life.play(60);
        break;
      } catch (PowerLost | DiskFault lost) {
        disk.heal();
        if (faults && random.nextBoolean()) {
          disk.restartProcess();
        } else {
          disk.powerUp();
        }
        disk.losePowerAfter(random.nextInt(40));
      } catch (AssertionError | RuntimeException wrong) {
        throw new AssertionError(
            "seed " + seed + ", power lost at step " + at + ", life " + i, wrong);
      }
    }
    disk.heal();
    disk.powerUp();
    Life last = new Life(disk, world, random, 2e12, 9000);
    check(last, world);
    return lives + 1;
  }

  @Test
  void aBitThatTurnedInWhatWasSyncedIsAnErrorWithItsPlaceOrTheLastBatch() throws IOException {
    int found = 0;
    for (long seed = 1; seed <= 200; seed++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0);
      Life life = new Life(disk, new World(), new SplittableRandom(seed), 1e12, 0);
      life.play(40);
      long last = lastBatch(disk);
      SplittableRandom where = new SplittableRandom(seed);
      List<String> files = disk.list().stream().filter(name -> !name.endsWith(".tmp")).toList();
      String file = files.get(where.nextInt(files.size()));
      int offset = where.nextInt(disk.read(file).length);
      disk.flip(file, offset);
      try {
        JobTable recovered = new JobTable(SETTINGS);
        WriteAheadLog.inspect(disk, recovered::replay);
        // Nothing follows the last batch, which cannot be distinguished from a torn one; or an old
        // file was hit.
        boolean old =
            disk.list().stream()
                .anyMatch(
                    name ->
                        name.startsWith("snap-")
                            && !name.endsWith(".tmp")
                            && name.substring(5).compareTo(file.substring(file.indexOf('-') + 1))
                                > 0);
        assertTrue(
            old
                || (file.equals(
                        files.stream()
                            .filter(name -> name.startsWith("log-"))
                            .reduce((a, b) -> b)
                            .orElseThrow())
                    && (offset >= last || disk.read(file).length == LogFiles.HEADER_BYTES)),
            "seed " + seed + ": " + file + " at " + offset + " was passed over in silence");
      } catch (CorruptLogException damaged) {
        found++;
        assertEquals(file, damaged.file(), "seed " + seed);
        assertTrue(damaged.offset() <= offset, "seed " + seed);
      }
    }
    assertTrue(found > 100, "found " + found);
  }

  /** The offset of the last batch in the last log. */
  private static long lastBatch(FaultInjectingStorage disk) {
    String log =
        disk.list().stream()
            .filter(name -> name.startsWith("log-"))
            .reduce((a, b) -> b)
            .orElseThrow();
    ByteBuffer content = ByteBuffer.wrap(disk.read(log));
    int at = LogFiles.HEADER_BYTES;
    int last = at;
    while (at < content.capacity()) {
      last = at;
      at += 16 + content.getInt(at);
    }
    return last;
  }

  @Test
  void aSkippedSyncIsNeverPassedOverInSilenceOnceMoreWasSynced() throws IOException {
    int damaged = 0;
    for (long seed = 1; seed <= 3000; seed++) {
      FaultInjectingStorage disk = new FaultInjectingStorage(seed, 0.02);
      World world = new World();
      SplittableRandom random = new SplittableRandom(seed);
      try {
        Life life = new Life(disk, world, random, 1e12, 0);
        disk.losePowerAfter(20 + random.nextInt(80));
        life.play(200);
      } catch (PowerLost lost) {
        disk.powerUp();
      }
      try {
        check(new Life(disk, world, random, 2e12, 9000), world);
      } catch (CorruptLogException detected) {
        damaged++;
      } catch (AssertionError missing) {
        // A very last sync that was skipped looks like one that never returned; an earlier one must
        // be seen.
        assertTrue(disk.skippedSyncs() > 0, "seed " + seed + ": " + missing.getMessage());
      }
    }
    assertTrue(damaged > 0, "no skipped sync was ever detected");
  }

  @Test
  void aFullDiskTakesNothingAndGoesOnInANewFileOnceThereIsSpaceAgain() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    World world = new World();
    Life life = new Life(disk, world, new SplittableRandom(1), 1e12, 0);
    life.play(50);
    JobChange change =
        life.table.accept(new JobSubmission("late", Idempotency.UNSAFE, "", 0, new byte[9]), 1e12);
    long before = life.log.logNumber();
    disk.fill(true);
    for (int i = 0; i < 3; i++) {
      assertThrows(IOException.class, () -> life.log.commit(change.records()));
    }
    disk.fill(false);
    life.log.commit(change.records());
    world.accepted.add("late");
    assertEquals(
        before + 1, life.log.logNumber(), "the file whose write failed is written no more");
    life.play(50);
    disk.powerUp();
    check(new Life(disk, world, new SplittableRandom(2), 2e12, 9000), world);
  }
}
