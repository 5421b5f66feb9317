package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
 * The store's two threads; this test's thread is the owner and runs the tasks of the disk's thread.
 */
class JobStoreTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e9, 3, 10, 100);

  private final BlockingQueue<Runnable> ownerTasks = new LinkedBlockingQueue<>();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final List<Double> delays = new ArrayList<>();
  private final FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);

  private JobStore open(long logBytes, int maxPendingChanges) throws IOException {
    RetryTimer timer =
        (delayMillis, run) -> {
          delays.add(delayMillis);
          timers.add(run);
        };
    return JobStore.open(
        disk,
        new JobStore.Settings(SETTINGS, logBytes, maxPendingChanges),
        0,
        new JobStore.Owner(ownerTasks::add, timer));
  }

  private void runOwnerTask() throws InterruptedException {
    Runnable task = ownerTasks.poll(20, TimeUnit.SECONDS);
    assertTrue(task != null, "the disk's thread handed over no task");
    task.run();
  }

  private static JobChange accept(JobStore store, String id) {
    return store.table().accept(new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1);
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
        runOwnerTask();
      }
      assertTrue(store.syncs() < 2000, "syncs: " + store.syncs());
    }
    for (int i = 0; i < 2000; i++) {
      assertEquals("j" + i, stored.get(i));
    }
    try (JobStore again = open(1 << 20, 10)) {
      assertEquals(2000, again.table().jobs().size());
    }
  }

  private void accept(JobStore store, String id, List<String> notified)
      throws StoreUnavailableException {
    store.accept(
        new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1, () -> notified.add(id));
  }

  private static StoreUnavailableException.Reason rejection(JobStore store, String id) {
    StoreUnavailableException rejected =
        assertThrows(
            StoreUnavailableException.class,
            () ->
                store.accept(
                    new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1, () -> {}));
    assertTrue(store.table().job(id).isEmpty(), "nothing is kept of a job that was rejected");
    return rejected.reason();
  }

  @Test
  void aStoreThatIsBehindRejectsNewJobs() throws Exception {
    List<String> notified = new ArrayList<>();
    try (JobStore store = open(1 << 20, 2)) {
      accept(store, "a", notified);
      assertFalse(store.overloaded());
      accept(store, "b", notified);
      assertTrue(store.overloaded(), "two are on their way");
      assertEquals(StoreUnavailableException.Reason.OVERLOADED, rejection(store, "c"));
      while (notified.size() < 2) {
        runOwnerTask();
      }
      assertFalse(store.overloaded());
    }
  }

  @ParameterizedTest
  @EnumSource(Errno.class)
  void pendingChangesAreNotifiedOnceAfterADiskFaultAndNewJobsAreRejectedMeanwhile(Errno errno)
      throws Exception {
    List<String> notified = new ArrayList<>();
    try (JobStore store = open(1 << 20, 100)) {
      accept(store, "a", notified);
      runOwnerTask();
      disk.fail(errno == Errno.ENOSPC ? Operation.WRITE : Operation.SYNC, errno, 0, 4);
      accept(store, "b", notified);
      runOwnerTask();
      for (int failures = 2; failures <= 4; failures++) {
        assertEquals(
            errno, ((FaultInjectingStorage.DiskFault) store.fault().orElseThrow()).errno());
        assertEquals(StoreUnavailableException.Reason.DISK_FAULT, rejection(store, "rejected"));
        timers.remove().run();
        runOwnerTask();
      }
      // What was accepted before may still change meanwhile.
      store.commit(store.table().lease("a", "w", 1, 0), () -> notified.add("a leased"));
      assertEquals(List.of("a"), notified, "neither yes nor no while the disk fails");
      timers.remove().run();
      while (notified.size() < 3) {
        runOwnerTask();
      }
      assertTrue(store.fault().isEmpty());
      accept(store, "c", notified);
      runOwnerTask();
    }
    assertEquals(List.of("a", "b", "a leased", "c"), notified);
    assertEquals(List.of(20.0, 40.0, 80.0, 160.0), delays);
    disk.powerUp();
    try (JobStore again = open(1 << 20, 2)) {
      assertEquals(3, again.table().jobs().size());
      assertEquals(JobState.LEASED, again.table().job("a").orElseThrow().state());
    }
  }

  @Test
  void aStoreThatIsClosedWhileItsDiskFailsThrowsAndNotifiesNobody() throws Exception {
    List<String> notified = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, Long.MAX_VALUE);
    accept(store, "a", notified);
    runOwnerTask();
    assertThrows(IOException.class, store::close);
    assertEquals(List.of(), notified);
    disk.heal();
    disk.powerUp();
    open(1 << 20, 2).close();
  }

  @Test
  void aStoreThatIsClosedAtItsDisksFirstFailureTriesOnceMore() throws Exception {
    List<String> notified = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    accept(store, "a", notified);
    store.close();
    disk.powerUp();
    try (JobStore again = open(1 << 20, 2)) {
      assertEquals(1, again.table().jobs().size());
    }
  }

  @Test
  void closedLogsBecomeASnapshotBesideTheCommits() throws Exception {
    int[] stored = {0};
    try (JobStore store = open(2000, 100_000)) {
      for (int i = 0; i < 500; i++) {
        store.commit(accept(store, "j" + i), () -> stored[0]++);
        runOwnerTask();
      }
      assertEquals(500, stored[0]);
      assertTrue(store.compactionFailure().isEmpty());
    }
    assertTrue(
        disk.list().stream().anyMatch(name -> name.startsWith("snap-")), disk.list().toString());
    assertTrue(disk.list().size() < 20, disk.list().toString());
    try (JobStore again = open(2000, 10)) {
      assertEquals(500, again.table().jobs().size());
    }
  }
}
