package ferngrade.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Runs the trials of an experiment in virtual time on a pool of threads. Each trial runs on one
 * thread and shares no state with the others.
 */
public final class ExperimentRunner {
  private final int threads;
  private final AtomicBoolean stopped = new AtomicBoolean();

  /** Creates a runner that runs up to {@code threads} trials concurrently. */
  public ExperimentRunner(int threads) {
    this.threads = threads;
  }

  /**
   * Stops starting trials. Trials that are running finish, and {@link #run} returns the results so
   * far. May be called from any thread.
   */
  public void stop() {
    stopped.set(true);
  }

  boolean stopped() {
    return stopped.get();
  }

  /**
   * Runs all trials and returns their results in the order in which the trials finished. Passes
   * each result to {@code onResult} on the calling thread as soon as its trial finishes.
   */
  public List<ExperimentRun.Result> run(
      Experiment experiment, Consumer<ExperimentRun.Result> onResult) throws InterruptedException {
    ExecutorService pool =
        Executors.newFixedThreadPool(
            threads,
            runnable -> {
              Thread thread = new Thread(runnable, "trial");
              thread.setDaemon(true);
              return thread;
            });
    try {
      CompletionService<ExperimentRun.Result> completionService =
          new ExecutorCompletionService<>(pool);
      int submittedCount = 0;
      for (long seed : experiment.seeds()) {
        for (Experiment.Point point : experiment.points()) {
          for (String policy : experiment.policies()) {
            ExperimentRun trial = new ExperimentRun(point.label(), policy, seed);
            completionService.submit(
                () ->
                    stopped.get()
                        ? null
                        : trial.runInVirtualTime(point.scenario(), experiment.mutation()));
            submittedCount++;
          }
        }
      }
      List<ExperimentRun.Result> results = new ArrayList<>();
      for (int i = 0; i < submittedCount; i++) {
        ExperimentRun.Result result = completionService.take().get();
        if (result != null) {
          results.add(result);
          onResult.accept(result);
        }
      }
      return results;
    } catch (ExecutionException e) {
      throw new IllegalStateException("a trial failed: " + e.getCause(), e.getCause());
    } finally {
      pool.shutdownNow();
    }
  }
}
