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
 * Plays the trials of an experiment, several at a time; each runs on one thread and shares nothing
 * with the others.
 */
public final class ExperimentRunner {
  private final int threads;
  private final AtomicBoolean stopped = new AtomicBoolean();

  /** A laboratory that plays so many trials at a time. */
  public ExperimentRunner(int threads) {
    this.threads = threads;
  }

  /** Begins no further trial; those in work end, and {@link #run} returns what there is. */
  public void stop() {
    stopped.set(true);
  }

  boolean stopped() {
    return stopped.get();
  }

  /** Plays all trials; {@code finished} hears of each as it ends, on the calling thread. */
  public List<ExperimentRun.Result> run(
      Experiment experiment, Consumer<ExperimentRun.Result> finished) throws InterruptedException {
    ExecutorService pool =
        Executors.newFixedThreadPool(
            threads,
            task -> {
              Thread thread = new Thread(task, "trial");
              thread.setDaemon(true);
              return thread;
            });
    try {
      CompletionService<ExperimentRun.Result> trials = new ExecutorCompletionService<>(pool);
      int begun = 0;
      for (long seed : experiment.seeds()) {
        for (Experiment.Point point : experiment.points()) {
          for (String policy : experiment.policies()) {
            ExperimentRun trial = new ExperimentRun(point.label(), policy, seed);
            trials.submit(
                () -> stopped.get() ? null : trial.play(point.scenario(), experiment.mutation()));
            begun++;
          }
        }
      }
      List<ExperimentRun.Result> results = new ArrayList<>();
      for (int i = 0; i < begun; i++) {
        ExperimentRun.Result result = trials.take().get();
        if (result != null) {
          results.add(result);
          finished.accept(result);
        }
      }
      return results;
    } catch (ExecutionException failed) {
      throw new IllegalStateException("a trial failed: " + failed.getCause(), failed.getCause());
    } finally {
      pool.shutdownNow();
    }
  }
}
