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
 * Guards against callbacks that are lost, repeated or called before their change is durable. The
 * test's thread owns the store and runs the tasks that the disk thread passes to it.
 */
class JobStoreTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e9, 3, 10, 100);

  private final BlockingQueue<Runnable> ownerTasks = new LinkedBlockingQueue<>();
  private final Deque<Runnable> timers = new ArrayDeque<>();
  private final List<Double> delays = new ArrayList<>();
  private final FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);

  private JobStore open(long logBytes, int maxPendingChanges) throws IOException {
    RetryTimer timer =
        (delayMillis, task) -> {
          delays.add(delayMillis);
          timers.add(task);
        };
    return JobStore.open(
        disk,
        new JobStore.Settings(SETTINGS, logBytes, maxPendingChanges),
        0,
        new JobStore.OwnerThread(ownerTasks::add, timer));
  }

  private void runOwnerTask() throws InterruptedException {
    Runnable task = ownerTasks.poll(20, TimeUnit.SECONDS);
    assertTrue(task != null, "the disk thread has passed no task to the owner");
    task.run();
  }

  private static JobChange accept(JobStore store, String id) {
    return store.table().accept(new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1);
  }

  @Test
  void storesChangesInOrderWithSharedSyncs() throws Exception {
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
    try (JobStore reopened = open(1 << 20, 10)) {
      assertEquals(2000, reopened.table().jobs().size());
    }
  }

  private void accept(JobStore store, String id, List<String> stored)
      throws StoreUnavailableException {
    store.accept(
        new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1, () -> stored.add(id));
  }

  private static StoreUnavailableException.Reason rejection(JobStore store, String id) {
    StoreUnavailableException rejected =
        assertThrows(
            StoreUnavailableException.class,
            () ->
                store.accept(
                    new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[50]), 1, () -> {}));
    assertTrue(store.table().job(id).isEmpty(), "a rejected job is not in the table");
    return rejected.reason();
  }

  @Test
  void rejectsJobsWhileTooManyChangesArePending() throws Exception {
    List<String> stored = new ArrayList<>();
    try (JobStore store = open(1 << 20, 2)) {
      accept(store, "a", stored);
      assertFalse(store.overloaded());
      accept(store, "b", stored);
      assertTrue(store.overloaded(), "two changes are pending");
      assertEquals(StoreUnavailableException.Reason.OVERLOADED, rejection(store, "c"));
      while (stored.size() < 2) {
        runOwnerTask();
      }
      assertFalse(store.overloaded());
    }
  }

  @ParameterizedTest
  @EnumSource(Errno.class)
  void storesPendingChangesOnceAfterDiskFaultAndRejectsJobsMeanwhile(Errno errno) throws Exception {
    List<String> stored = new ArrayList<>();
    try (JobStore store = open(1 << 20, 100)) {
      accept(store, "a", stored);
      runOwnerTask();
      disk.fail(errno == Errno.ENOSPC ? Operation.WRITE : Operation.SYNC, errno, 0, 4);
      accept(store, "b", stored);
      runOwnerTask();
      for (int failures = 2; failures <= 4; failures++) {
        assertEquals(
            errno, ((FaultInjectingStorage.DiskFault) store.fault().orElseThrow()).errno());
        assertEquals(StoreUnavailableException.Reason.DISK_FAULT, rejection(store, "rejected"));
        timers.remove().run();
        runOwnerTask();
      }
      // Jobs accepted before the fault may still change.
      store.commit(store.table().lease("a", "w", 1, 0), () -> stored.add("a leased"));
      assertEquals(List.of("a"), stored, "no callback is called while the disk fails");
      timers.remove().run();
      while (stored.size() < 3) {
        runOwnerTask();
      }
      assertTrue(store.fault().isEmpty());
      accept(store, "c", stored);
      runOwnerTask();
    }
    assertEquals(List.of("a", "b", "a leased", "c"), stored);
    assertEquals(List.of(20.0, 40.0, 80.0, 160.0), delays);
    disk.restorePower();
    try (JobStore reopened = open(1 << 20, 2)) {
      assertEquals(3, reopened.table().jobs().size());
      assertEquals(JobState.LEASED, reopened.table().job("a").orElseThrow().state());
    }
  }

  @Test
  void closeThrowsWithoutCallbackWhileDiskFails() throws Exception {
    List<String> stored = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, Long.MAX_VALUE);
    accept(store, "a", stored);
    runOwnerTask();
    assertThrows(IOException.class, store::close);
    assertEquals(List.of(), stored);
    disk.clearFaults();
    disk.restorePower();
    open(1 << 20, 2).close();
  }

  @Test
  void closeRetriesOnceAfterFirstFailure() throws Exception {
    List<String> stored = new ArrayList<>();
    JobStore store = open(1 << 20, 100);
    disk.fail(Operation.SYNC, Errno.EIO, 0, 1);
    accept(store, "a", stored);
    store.close();
    disk.restorePower();
    try (JobStore reopened = open(1 << 20, 2)) {
      assertEquals(1, reopened.table().jobs().size());
    }
  }

  @Test
  void compactsClosedLogsConcurrentlyWithCommits() throws Exception {
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
    try (JobStore reopened = open(2000, 10)) {
      assertEquals(500, reopened.table().jobs().size());
    }
  }
}
