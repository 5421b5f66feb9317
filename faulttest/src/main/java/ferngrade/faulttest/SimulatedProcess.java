package ferngrade.faulttest;

import java.util.ArrayList;
import java.util.List;

/**
 * A process in virtual time that can be suspended and killed. The tasks of a suspended process
 * wait. The tasks of a killed process are dropped.
 */
final class SimulatedProcess {
  private final List<Runnable> delayed = new ArrayList<>();
  private boolean alive = true;
  private boolean paused;

  /**
   * Runs a task of the process. If the process is suspended, the task runs once the process is
   * resumed; if it was killed, the task is dropped.
   */
  void execute(Runnable task) {
    if (alive && paused) {
      delayed.add(task);
    } else if (alive) {
      task.run();
    }
  }

  void setPaused(boolean suspend) {
    paused = suspend;
    if (!suspend) {
      List<Runnable> tasks = List.copyOf(delayed);
      delayed.clear();
      tasks.forEach(this::execute);
    }
  }

  void kill() {
    alive = false;
  }

  boolean alive() {
    return alive;
  }

  boolean paused() {
    return paused;
  }
}
