package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.Idempotency;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * The store's two threads; this test's thread is the owner and runs what the disk's thread hands
 * it.
 */
class JobStoreTest {
  private static final JobTable.Terms TERMS = new JobTable.Terms(100, 100, 1e9, 3, 10, 100);

  private final BlockingQueue<Runnable> handed = new LinkedBlockingQueue<>();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final List<Double> waits = new ArrayList<>();
  private final FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);

  private JobStore open(long logBytes, int mostWaiting) throws IOException {
    return JobStore.open(
        disk,
        TERMS,
        logBytes,
        mostWaiting,
        0,
        handed::add,
        (millis, run) -> {
          waits.add(millis);
          timers.add(run);
        });
  }

  private void turn() throws InterruptedException {
    Runnable task = handed.poll(20, TimeUnit.SECONDS);
    assertTrue(task != null, "the disk's thread said nothing");
    task.run();
  }

  private static JobTable.Change accept(JobStore store, String id) {
    return store.ledger().accept(id, Idempotency.UNSAFE, "", 0, new byte[50], 1);
  }

  @Test
  void changesLastInTheirOrderAndShareSyncs() throws Exception {
    List<String> stored = new ArrayList<>();
    try (JobStore store = open(1 << 20, 10_000)) {
      for (int i = 0; i < 2000; i++) {
        String id = "j" + i;
        store.commit(accept(store, id), () -> stored.add(id));
      }
      while (stored.size() < 2000) {
        turn();
      }
      assertTrue(store.syncs() < 2000, "syncs: " + store.syncs());
    }
    for (int i = 0; i < 2000; i++) {
      assertEquals("j" + i, stored.get(i));
    }
    try (JobStore again = open(1 << 20, 10)) {
      assertEquals(2000, again.ledger().jobs().size());
    }
  }

  private void accept(JobStore store, String id, List<String> told)
      throws StoreUnavailableException {
    store.accept(id, Idempotency.UNSAFE, "", 0, new byte[50], 1, () -> told.add(id));
  }

  private static StoreUnavailableException.Reason refusal(JobStore store, String id) {
    StoreUnavailableException refused =
        assertThrows(
            StoreUnavailableException.class,
            () -> store.accept(id, Idempotency.UNSAFE, "", 0, new byte[50], 1, () -> {}));
    assertNull(store.ledger().job(id), "nothing is kept of a job that was refused");
    return refused.reason();
  }

  @Test
  void aStoreThatIsBehindRefusesNewJobs() throws Exception {
    List<String> told = new ArrayList<>();
    try (JobStore store = open(1 << 20, 2)) {
      accept(store, "a", told);
      assertFalse(store.crowded());
      accept(store, "b", told);
      assertTrue(store.crowded(), "two are on their way");
      assertEquals(StoreUnavailableException.Reason.OVERLOADED, refusal(store, "c"));
      while (told.size() < 2) {
        turn();
      }
      assertFalse(store.crowded());
    }
  }

  @ParameterizedTest
  @EnumSource(Errno.class)
  void whoWaitsWhileTheDiskFailsIsToldOnceWhenItIsOverAndNewJobsAreRefusedMeanwhile(Errno errno)
      throws Exception {
    List<String> told = new ArrayList<>();
    try (JobStore store = open(1 << 20, 100)) {
      accept(store, "a", told);
      turn();
      disk.fail(errno == Errno.ENOSPC ? Operation.WRITE : Operation.SYNC, errno, 0, 4);
      accept(store, "b", told);
      turn();
      for (int failures = 2; failures <= 4; failures++) {
        assertEquals(errno, ((FaultInjectingStorage.DiskFault) store.fault()).errno());
        assertEquals(StoreUnavailableException.Reason.DISK_FAULT, refusal(store, "refused"));
        timers.remove().run();
        turn();
      }
      // What was taken before may still change meanwhile.
      store.commit(store.ledger().lease("a", "w", 1, 0), () -> told.add("a leased"));
      assertEquals(List.of("a"), told, "neither yes nor no while the disk fails");
      timers.remove().run();
      while (told.size() < 3) {
        turn();
      }
      assertNull(store.fault());
      accept(store, "c", told);
      turn();
    }
    assertEquals(List.of("a", "b", "a leased", "c"), told);
    assertEquals(List.of(20.0, 40.0, 80.0, 160.0), waits);
    disk.powerUp();
    try (JobStore again = open(1 << 20, 2)) {
      assertEquals(3, again.ledger().jobs().size());
      assertEquals(JobState.LEASED, again.ledger().job("a").state());
    }
  }

  @Test
  void aStoreThatIsClosedWhileItsDiskFailsSaysSoAndTellsNobody() throws Exception {
    List<String> told = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, Long.MAX_VALUE);
    accept(store, "a", told);
    turn();
    assertThrows(IOException.class, store::close);
    assertEquals(List.of(), told);
    disk.heal();
    disk.powerUp();
    open(1 << 20, 2).close();
  }

  @Test
  void aStoreThatIsClosedAtItsDisksFirstFailureTriesOnceMore() throws Exception {
    List<String> told = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    accept(store, "a", told);
    store.close();
    disk.powerUp();
    try (JobStore again = open(1 << 20, 2)) {
      assertEquals(1, again.ledger().jobs().size());
    }
  }

  @Test
  void closedLogsBecomeASnapshotBesideTheCommits() throws Exception {
    int[] stored = {0};
    try (JobStore store = open(2000, 100_000)) {
      for (int i = 0; i < 500; i++) {
        store.commit(accept(store, "j" + i), () -> stored[0]++);
        turn();
      }
      assertEquals(500, stored[0]);
      assertNull(store.compactionFailure());
    }
    assertTrue(
        disk.list().stream().anyMatch(name -> name.startsWith("snap-")), disk.list().toString());
    assertTrue(disk.list().size() < 20, disk.list().toString());
    try (JobStore again = open(2000, 10)) {
      assertEquals(500, again.ledger().jobs().size());
    }
  }
}
