package ferngrade.server;

import ferngrade.node.TaskScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongPredicate;

/**
 * The processes of the node that run now, in the order in which they started. One counts from the
 * moment it is known until the system has no process of its id any more; that is checked in the
 * background. Belongs to the event loop.
 */
final class LiveProcesses {
  /** How often it is checked which processes have ended, ms. */
  static final long CHECK_INTERVAL = 200;

  private final long own;
  private final TaskScheduler scheduler;
  private final Executor loop;
  private final LongPredicate alive;
  private final Listener listener;
  private final List<Long> others = new ArrayList<>();

  /** Those of the others that have started before this one. */
  private final Set<Long> earlier = new HashSet<>();

  /** Those of the others that accept no more jobs. */
  private final Set<Long> finishing = new HashSet<>();

  private boolean ownStarted;
  private boolean checkScheduled;

  /** Is notified when the processes, or what they do, have changed. */
  @FunctionalInterface
  interface Listener {
    /** This is what runs now. */
    void changed(ProcessShare share);
  }

  /** The processes beside that with the id {@code own}; {@code alive} is called on any thread. */
  LiveProcesses(
      long own, TaskScheduler scheduler, Executor loop, LongPredicate alive, Listener listener) {
    this.own = own;
    this.scheduler = scheduler;
    this.loop = loop;
    this.alive = alive;
    this.listener = listener;
  }

  /** A process has started; known ones, and those that have ended, are ignored. */
  void started(long pid) {
    if (pid == own) {
      ownStarted = true;
    } else if (!others.contains(pid) && alive.test(pid)) {
      others.add(pid);
      if (!ownStarted) {
        earlier.add(pid);
      }
      changed();
      checkLater();
    }
  }

  /** A process accepts no more jobs; an unknown one is ignored. */
  void finishing(long pid) {
    if (others.contains(pid) && finishing.add(pid)) {
      changed();
    }
  }

  /** True if a process beside this one runs, as far as is known. */
  boolean othersRun() {
    return !others.isEmpty();
  }

  private void changed() {
    int accepting = (int) others.stream().filter(pid -> !finishing.contains(pid)).count() + 1;
    int index = (int) earlier.stream().filter(pid -> !finishing.contains(pid)).count();
    listener.changed(new ProcessShare(others.size() + 1, accepting, index));
  }

  private void checkLater() {
    if (!checkScheduled) {
      checkScheduled = true;
      List<Long> known = List.copyOf(others);
      scheduler.schedule(() -> check(known), CHECK_INTERVAL);
    }
  }

  /** On the scheduler. */
  private void check(List<Long> known) {
    List<Long> ended = known.stream().filter(pid -> !alive.test(pid)).toList();
    loop.execute(() -> checked(ended));
  }

  private void checked(List<Long> ended) {
    checkScheduled = false;
    others.removeAll(ended);
    earlier.removeAll(ended);
    finishing.removeAll(ended);
    if (!ended.isEmpty()) {
      changed();
    }
    if (!others.isEmpty()) {
      checkLater();
    }
  }
}
