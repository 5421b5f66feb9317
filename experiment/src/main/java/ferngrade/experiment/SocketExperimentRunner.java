package ferngrade.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Runs the trials of an experiment on loopback sockets in real time, one after the other, because
 * concurrent trials would compete for processor time and distort each other's latencies.
 */
final class SocketExperimentRunner {
  /** The maximum number of repetitions of a trial that is invalid because the machine was busy. */
  private static final int MAX_RERUNS = 2;

  private final List<String> command;
  private final Path logFolder;
  private volatile boolean stopped;

  /**
   * Creates a runner that starts each node with {@code command}, which takes the same environment
   * variables as {@code serve}. An empty command starts this program.
   */
  SocketExperimentRunner(List<String> command, Path logFolder) {
    this.command = command;
    this.logFolder = logFolder;
  }

  /** Stops before the next trial. May be called from any thread. */
  void stop() {
    stopped = true;
  }

  /**
   * Runs all trials and returns the results of the valid ones. Passes each result to {@code
   * onResult} on the calling thread.
   */
  List<ExperimentRun.Result> run(Experiment experiment, Consumer<ExperimentRun.Result> onResult)
      throws InterruptedException, IOException {
    List<ExperimentRun.Result> results = new ArrayList<>();
    for (long seed : experiment.seeds()) {
      for (Experiment.Point point : experiment.points()) {
        for (String policy : experiment.policies()) {
          ExperimentRun trial = new ExperimentRun(point.label(), policy, seed);
          ExperimentRun.Result result = null;
          for (int rerun = 0; rerun <= MAX_RERUNS && result == null && !stopped; rerun++) {
            Path trialFolder = logFolder.resolve(policy + "-" + seed + "-" + results.size());
            result = trial.runOnSockets(point.scenario(), nodeCommand(policy), trialFolder);
          }
          if (result != null) {
            results.add(result);
            onResult.accept(result);
          }
        }
      }
    }
    return results;
  }

  private List<String> nodeCommand(String policy) {
    if (!command.isEmpty()) {
      return command;
    }
    List<String> arguments =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "ferngrade.Main"));
    arguments.addAll(
        policy.equals("module")
            ? List.of("serve")
            : List.of("experiment", "node", "--policy", policy));
    return arguments;
  }
}
