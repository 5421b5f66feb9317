package ferngrade.faulttest;

import java.util.ArrayList;
import java.util.List;

/**
 * A process in virtual time that can stand still, when what happens to it waits, and die, when
 * nothing happens any more.
 */
final class Standstill {
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean alive = true;
  private boolean paused;

  /** Runs something of the process: later if it stands still, never once it is dead. */
  void enter(Runnable run) {
    if (alive && paused) {
      waiting.add(run);
    } else if (alive) {
      run.run();
    }
  }

  void pause(boolean begins) {
    paused = begins;
    if (!begins) {
      List<Runnable> all = List.copyOf(waiting);
      waiting.clear();
      all.forEach(this::enter);
    }
  }

  void die() {
    alive = false;
  }

  boolean alive() {
    return alive;
  }

  boolean paused() {
    return paused;
  }
}
