package ferngrade.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Plays the trials of an experiment on sockets, one after the other: each needs the machine for
 * itself.
 */
final class SocketExperimentRunner {
  /** How often a trial is played again that a busy machine has made void. */
  private static final int AGAIN = 2;

  private final List<String> command;
  private final Path logs;
  private volatile boolean stopped;

  /** {@code command} starts a node, as {@code serve} does; empty for this program itself. */
  SocketExperimentRunner(List<String> command, Path logs) {
    this.command = command;
    this.logs = logs;
  }

  void stop() {
    stopped = true;
  }

  List<ExperimentRun.Result> run(Experiment experiment, Consumer<ExperimentRun.Result> finished)
      throws InterruptedException, IOException {
    List<ExperimentRun.Result> results = new ArrayList<>();
    for (long seed : experiment.seeds()) {
      for (Experiment.Point point : experiment.points()) {
        for (String policy : experiment.policies()) {
          ExperimentRun trial = new ExperimentRun(point.label(), policy, seed);
          ExperimentRun.Result result = null;
          for (int i = 0; i <= AGAIN && result == null && !stopped; i++) {
            Path folder = logs.resolve(policy + "-" + seed + "-" + results.size());
            result = trial.playOnSockets(point.scenario(), start(policy), folder);
          }
          if (result != null) {
            results.add(result);
            finished.accept(result);
          }
        }
      }
    }
    return results;
  }

  private List<String> start(String policy) {
    if (!command.isEmpty()) {
      return command;
    }
    List<String> line =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                "ferngrade.Main"));
    line.addAll(
        policy.equals("module")
            ? List.of("serve")
            : List.of("experiment", "node", "--policy", policy));
    return line;
  }
}
