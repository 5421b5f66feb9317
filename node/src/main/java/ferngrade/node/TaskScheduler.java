package ferngrade.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs tasks one at a time on a thread other than the node's event loop. */
@FunctionalInterface
public interface TaskScheduler {
  /** Runs the task after this many milliseconds of monotonic time. May be called on any thread. */
  void schedule(Runnable task, long delayMillis);

  /** Creates a scheduler with one daemon thread, which starts with the first task. */
  static TaskScheduler onDaemonThread(String name) {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            runnable -> {
              Thread thread = new Thread(runnable, name);
              thread.setDaemon(true);
              return thread;
            });
    return (task, delayMillis) -> executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }
}
