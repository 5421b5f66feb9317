package ferngrade.consensus;

import io.microraft.executor.RaftNodeExecutor;
import java.util.concurrent.TimeUnit;

/** Runs the tasks of the algorithm on the member's thread and by the member's clock. */
final class MicroRaftExecutor implements RaftNodeExecutor {
  /** The algorithm's base election timeout, in ms of the algorithm's clock. */
  static final int ELECTION_TIMEOUT_MILLIS = 1000;

  private final RaftMember.Environment environment;
  private final double scale;
  private final StorageSuspension suspension;
  private final ElectionMonitor elections;

  /**
   * Creates an executor for the algorithm's tasks. A delay that the algorithm requests is
   * multiplied by {@code scale} to obtain the delay of the member's timer.
   */
  MicroRaftExecutor(
      RaftMember.Environment environment,
      double scale,
      StorageSuspension suspension,
      ElectionMonitor elections) {
    this.environment = environment;
    this.scale = scale;
    this.suspension = suspension;
    this.elections = elections;
  }

  @Override
  public void execute(Runnable task) {
    environment.executor().execute(() -> suspension.run(task));
  }

  @Override
  public void submit(Runnable task) {
    execute(task);
  }

  @Override
  public void schedule(Runnable task, long delay, TimeUnit unit) {
    double millis = unit.toMicros(delay) / 1000.0 * scale;
    if (unit == TimeUnit.MILLISECONDS && delay >= ELECTION_TIMEOUT_MILLIS) {
      millis = elections.extend(millis);
    }
    environment.timers().after(millis, () -> suspension.run(task));
  }
}
