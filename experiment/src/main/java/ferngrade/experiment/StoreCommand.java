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
 * Measures a store of durable jobs on a disk, against the raw rate of that disk's syncs in the same
 * run.
 */
@Command(
    name = "store",
    description = "Measures durable jobs a second on a disk against its raw rate of syncs.",
    mixinStandardHelpOptions = true)
final class StoreCommand implements Callable<Integer> {
  private static final int PAYLOAD = 200;
  private static final JobTableSettings SETTINGS =
      new JobTableSettings(10_000, 10_000, 1e9, 3, 100, 1000);

  @Option(
      names = "--dir",
      required = true,
      paramLabel = "DIR",
      description = "A folder on the disk; emptied first.")
  private Path folder;

  @Option(names = "--clients", split = ",", defaultValue = "1,10,100,1000", paramLabel = "N")
  private List<Integer> clients;

  @Option(names = "--seconds", defaultValue = "3", paramLabel = "S")
  private double seconds;

  @Option(
      names = "--open",
      defaultValue = "1000000",
      paramLabel = "N",
      description = "Open jobs at the restart.")
  private int open;

  @Override
  public Integer call() throws Exception {
    System.out.println("clients,syncs a second (raw),jobs a second,jobs a sync,p50 ms,p99 ms");
    for (int count : clients) {
      clear();
      double raw = rawSyncs();
      clear();
      load(count, raw);
    }
    clear();
    restart();
    clear();
    return 0;
  }

  private void clear() throws IOException {
    if (Files.isDirectory(folder)) {
      try (Stream<Path> files = Files.list(folder)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
    }
    Files.createDirectories(folder);
  }

  /** Appends of one job's size, each synced. */
  private double rawSyncs() throws IOException {
    try (FileChannel file =
        FileChannel.open(
            folder.resolve("raw"), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      long syncs = 0;
      long began = System.nanoTime();
      while (System.nanoTime() - began < seconds * 1e9 / 2) {
        file.write(ByteBuffer.allocate(PAYLOAD + 60));
        file.force(false);
        syncs++;
      }
      return syncs / ((System.nanoTime() - began) / 1e9);
    }
  }

  /**
   * So many clients, each with one job on its way: the next is handed in when the last is stored.
   */
  private void load(int count, double raw) throws Exception {
    ScheduledExecutorService owner = Executors.newSingleThreadScheduledExecutor();
    Histogram latency = new Histogram(60_000_000L, 3);
    long[] jobs = {0};
    boolean[] over = {false};
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        JobStore store =
            JobStore.open(
                disk,
                new JobStore.Settings(SETTINGS, 256 << 20, 1 << 20),
                0,
                new JobStore.Owner(
                    owner,
                    (delayMillis, run) ->
                        owner.schedule(run, (long) (delayMillis * 1000), TimeUnit.MICROSECONDS)))) {
      Callable<Void> begin =
          () -> {
            for (int i = 0; i < count; i++) {
              hand(store, latency, jobs, over);
            }
            return null;
          };
      long began = System.nanoTime();
      owner.submit(begin).get();
      TimeUnit.MILLISECONDS.sleep((long) (seconds * 1000));
      Future<long[]> done =
          owner.submit(
              () -> {
                over[0] = true;
                return new long[] {jobs[0], store.syncs(), System.nanoTime() - began};
              });
      long[] figures = done.get();
      double took = figures[2] / 1e9;
      System.out.printf(
          "%d,%.0f,%.0f,%.1f,%.2f,%.2f%n",
          count,
          raw,
          figures[0] / took,
          (double) figures[0] / Math.max(1, figures[1]),
          latency.getValueAtPercentile(50) / 1000.0,
          latency.getValueAtPercentile(99) / 1000.0);
    } finally {
      owner.shutdown();
    }
  }

  private void hand(JobStore store, Histogram latency, long[] jobs, boolean[] over) {
    long began = System.nanoTime();
    String id = "j" + jobs[0] + "-" + began;
    store.commit(
        store
            .table()
            .accept(new JobSubmission(id, Idempotency.UNSAFE, "", 0, new byte[PAYLOAD]), 0),
        () -> {
          jobs[0]++;
          latency.recordValue(Math.min(60_000_000L, (System.nanoTime() - began) / 1000));
          if (!over[0]) {
            hand(store, latency, jobs, over);
          }
        });
  }

  private void restart() throws IOException {
    JobTable table = new JobTable(SETTINGS);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        WriteAheadLog log = WriteAheadLog.open(disk, 64 << 20, table::replay)) {
      List<LogRecord> batch = new ArrayList<>();
      for (int i = 0; i < open; i++) {
        batch.addAll(
            table
                .accept(
                    new JobSubmission("job-" + i, Idempotency.UNSAFE, "", 0, new byte[PAYLOAD]), 0)
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
    long bytes = size();
    restarted("from the logs", bytes);
    try (FileSystemStorage disk = FileSystemStorage.openExclusive(folder);
        WriteAheadLog log = WriteAheadLog.open(disk, 64 << 20, replayed -> {})) {
      long began = System.nanoTime();
      LogCompactor.compact(disk, log.logNumber());
      System.out.printf(
          "snapshot of %d open jobs: %.2f s%n", open, (System.nanoTime() - began) / 1e9);
    }
    restarted("from a snapshot", size());
  }

  private void restarted(String how, long bytes) throws IOException {
    System.gc();
    long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    JobTable recovered = new JobTable(SETTINGS);
    long began = System.nanoTime();
    try (FileSystemStorage disk = FileSystemStorage.openReadOnly(folder)) {
      WriteAheadLog.inspect(disk, recovered::replay);
    }
    double took = (System.nanoTime() - began) / 1e9;
    System.gc();
    long after = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.printf(
        "restart with %d open jobs %s: %.2f s, %d bytes a job on disk, %d in memory%n",
        recovered.jobs().size(), how, took, bytes / open, (after - before) / open);
  }

  private long size() throws IOException {
    long bytes = 0;
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        bytes += Files.size(file);
      }
    }
    return bytes;
  }
}
