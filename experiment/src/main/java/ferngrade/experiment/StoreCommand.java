package ferngrade.experiment;

import ferngrade.dispatch.Idempotency;
import ferngrade.jobstore.FileSystemStorage;
import ferngrade.jobstore.JobStore;
import ferngrade.jobstore.JobSubmission;
import ferngrade.jobstore.JobTable;
import ferngrade.jobstore.JobTableSettings;
import ferngrade.jobstore.LogCompactor;
import ferngrade.jobstore.LogRecord;
import ferngrade.jobstore.WriteAheadLog;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Measures the throughput and restart time of a store of durable jobs on a disk, and the raw rate
 * of the disk's syncs in the same run for comparison.
 */
@Command(
    name = "store",
    description =
        "Measures durable jobs per second on a disk and compares them with its raw sync rate.",
    mixinStandardHelpOptions = true)
final class StoreCommand implements Callable<Integer> {
  private static final int PAYLOAD_BYTES = 200;
  private static final JobTableSettings SETTINGS =
      new JobTableSettings(10_000, 10_000, 1e9, 3, 100, 1000);

  @Option(
      names = "--dir",
      required = true,
      paramLabel = "DIR",
      description = "A folder on the disk; its files are deleted first.")
  private Path folder;

  @Option(names = "--clients", split = ",", defaultValue = "1,10,100,1000", paramLabel = "N")
  private List<Integer> clients;

  @Option(names = "--seconds", defaultValue = "3", paramLabel = "S")
  private double seconds;

  @Option(
      names = "--open",
      defaultValue = "1000000",
      paramLabel = "N",
      description = "The number of open jobs at a restart.")
  private int openJobs;

  @Override
  public Integer call() throws Exception {
    System.out.println("clients,syncs a second (raw),jobs a second,jobs a sync,p50 ms,p99 ms");
    for (int count : clients) {
      clearFolder();
      double rawSyncsPerSecond = measureRawSyncs();
      clearFolder();
      measureThroughput(count, rawSyncsPerSecond);
    }
    clearFolder();
    measureRestarts();
    clearFolder();
    return 0;
  }

  private void clearFolder() throws IOException {
    if (Files.isDirectory(folder)) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
    }
    Files.createDirectories(folder);
  }

  /** Returns the number of synced appends of one job's size per second. */
  private double measureRawSyncs() throws IOException {
    try (FileChannel file =
        FileChannel.open(
            folder.resolve("raw"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      long syncs = 0;
      long startNanos = System.nanoTime();
      while (System.nanoTime() - startNanos < seconds * 1e9 / 2) {
        file.write(ByteBuffer.allocate(PAYLOAD_BYTES + 60));
        file.force(false);
        syncs++;
      }
      return syncs / ((System.nanoTime() - startNanos) / 1e9);
    }
  }

  /**
   * Measures the throughput with this number of clients. Each client has one job in flight and
   * submits the next when the previous one is stored.
   */
  private void measureThroughput(int count, double rawSyncsPerSecond) throws Exception {
    ScheduledExecutorService owner = Executors.newSingleThreadScheduledExecutor();
    Histogram latency = new Histogram(60_000_000L, 3);
    long[] jobs = {0};
    boolean[] finished = {false};
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        JobStore store =
            JobStore.open(
                disk,
                new JobStore.Settings(SETTINGS, 256 << 20, 1 << 20),
                0,
                new JobStore.OwnerThread(
                    owner,
                    (delayMillis, task) ->
                        owner.schedule(
                            task, (long) (delayMillis * 1000), TimeUnit.MICROSECONDS)))) {
      Callable<Void> startClients =
          () -> {
            for (int i = 0; i < count; i++) {
              submit(store, latency, jobs, finished);
            }
            return null;
          };
      long startNanos = System.nanoTime();
      owner.submit(startClients).get();
      TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
      Future<long[]> stopped =
          owner.submit(
              () -> {
                finished[0] = true;
                return new long[] {jobs[0], store.syncs(), System.nanoTime() - startNanos};
              });
      long[] counts = stopped.get();
      double elapsedSeconds = counts[2] / 1e9;
      System.out.printf(
          "%d,%.0f,%.0f,%.1f,%.2f,%.2f%n",
          count,
          rawSyncsPerSecond,
          counts[0] / elapsedSeconds,
          (double) counts[0] / Math.max(1, counts[1]),
          latency.getValueAtPercentile(50) / 1000.0,
          latency.getValueAtPercentile(99) / 1000.0);
    } finally {
      owner.shutdown();
    }
  }

  private void submit(JobStore store, Histogram latency, long[] jobs, boolean[] finished) {
    long startNanos = System.nanoTime();
    String id = "j" + jobs[0] + "-" + startNanos;
    store.commit(
        store
            .table()
            .accept(new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[PAYLOAD_BYTES]), 0),
        () -> {
          jobs[0]++;
          latency.recordValue(Math.min(60_000_000L, (System.nanoTime() - startNanos) / 1000));
          if (!finished[0]) {
            submit(store, latency, jobs, finished);
          }
        });
  }

  private void measureRestarts() throws IOException {
    JobTable table = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        WriteAheadLog log = WriteAheadLog.open(disk, 64 << 20, table::replay)) {
      List<LogRecord> batch = new ArrayList<>();
      for (int i = 0; i < openJobs; i++) {
        batch.addAll(
            table
                .accept(
                    new JobSubmission(
                        "job-" + i, Idempotency.UNSAFE, "", 0, new byte[PAYLOAD_BYTES]),
                    0)
                .records());
        if (i % 10 == 0) {
          batch.addAll(table.lease("job-" + i, "w", 0, 0).records());
        }
        if (batch.size() >= 4096) {
          log.commit(batch);
          batch.clear();
        }
      }
      log.commit(batch);
    }
    long bytes = storedBytes();
    measureRestart("from the logs", bytes);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        WriteAheadLog log = WriteAheadLog.open(disk, 64 << 20, replayed -> {})) {
      long startNanos = System.nanoTime();
      LogCompactor.compact(disk, log.logNumber());
      System.out.printf(
          "snapshot of %d open jobs: %.2f s%n", openJobs, (System.nanoTime() - startNanos) / 1e9);
    }
    measureRestart("from a snapshot", storedBytes());
  }

  private void measureRestart(String source, long bytes) throws IOException {
    System.gc();
    long memoryBefore = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    JobTable recovered = new JobTable(SETTINGS);
    long startNanos = System.nanoTime();
    try (FileSystemStorage disk = FileSystemStorage.openReadOnly(folder)) {
      WriteAheadLog.inspect(disk, recovered::replay);
    }
    double elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    System.gc();
    long memoryAfter = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.printf(
        "restart with %d open jobs %s: %.2f s, %d bytes a job on disk, %d in memory%n",
        recovered.jobs().size(),
        source,
        elapsedSeconds,
        bytes / openJobs,
        (memoryAfter - memoryBefore) / openJobs);
  }

  private long storedBytes() throws IOException {
    long bytes = 0;
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        bytes += Files.size(file);
      }
    }
    return bytes;
  }
}
