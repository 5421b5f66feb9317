package ferngrade.server;

import ferngrade.node.TaskScheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.LongPredicate;

/**
 * Tracks the running processes of the node in the order in which they started. A process counts
 * from the moment it becomes known until no process with its id exists, which is checked in the
 * background. Used on the event loop only.
 */
final class LiveProcesses {
  /** The interval at which ended processes are detected, in ms. */
  static final long CHECK_INTERVAL_MILLIS = 200;

  private final long ownPid;
  private final TaskScheduler scheduler;
  private final Executor loop;
  private final LongPredicate isAlive;
  private final Listener listener;
  private final List<Long> otherPids = new ArrayList<>();

  /** The other processes that started before this one. */
  private final Set<Long> earlierPids = new HashSet<>();

  /** The other processes that have stopped accepting jobs. */
  private final Set<Long> finishingPids = new HashSet<>();

  private boolean ownStarted;
  private boolean checkScheduled;

  /** Receives the share of this process whenever the set of processes or their states change. */
  @FunctionalInterface
  interface Listener {
    /** Called on the event loop with the current share of this process. */
    void changed(ProcessShare share);
  }

  /**
   * Creates a tracker for the process with the id {@code ownPid}. {@code isAlive} returns whether a
   * process with the given id exists; it is called on the event loop and on the scheduler's thread.
   */
  LiveProcesses(
      long ownPid,
      TaskScheduler scheduler,
      Executor loop,
      LongPredicate isAlive,
      Listener listener) {
    this.ownPid = ownPid;
    this.scheduler = scheduler;
    this.loop = loop;
    this.isAlive = isAlive;
    this.listener = listener;
  }

  /** Records that a process has started; known and ended processes are ignored. */
  void started(long pid) {
    if (pid == ownPid) {
      ownStarted = true;
    } else if (!otherPids.contains(pid) && isAlive.test(pid)) {
      otherPids.add(pid);
      if (!ownStarted) {
        earlierPids.add(pid);
      }
      notifyListener();
      scheduleCheck();
    }
  }

  /** Records that a process has stopped accepting jobs; unknown processes are ignored. */
  void finishing(long pid) {
    if (otherPids.contains(pid) && finishingPids.add(pid)) {
      notifyListener();
    }
  }

  /** Returns true if at least one other process of the node is known to run. */
  boolean othersRun() {
    return !otherPids.isEmpty();
  }

  private void notifyListener() {
    int accepting =
        (int) otherPids.stream().filter(pid -> !finishingPids.contains(pid)).count() + 1;
    int index = (int) earlierPids.stream().filter(pid -> !finishingPids.contains(pid)).count();
    listener.changed(new ProcessShare(otherPids.size() + 1, accepting, index));
  }

  private void scheduleCheck() {
    if (!checkScheduled) {
      checkScheduled = true;
      List<Long> pids = List.copyOf(otherPids);
      scheduler.schedule(() -> check(pids), CHECK_INTERVAL_MILLIS);
    }
  }

  /** Finds ended processes; runs on the scheduler's thread. */
  private void check(List<Long> pids) {
    List<Long> ended = pids.stream().filter(pid -> !isAlive.test(pid)).toList();
    loop.execute(() -> removeEnded(ended));
  }

  private void removeEnded(List<Long> ended) {
    checkScheduled = false;
    otherPids.removeAll(ended);
    earlierPids.removeAll(ended);
    finishingPids.removeAll(ended);
    if (!ended.isEmpty()) {
      notifyListener();
    }
    if (!otherPids.isEmpty()) {
      scheduleCheck();
    }
  }
}
