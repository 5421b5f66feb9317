package ferngrade.node;

import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Runs tasks one at a time, apart from the node's event loop. */
@FunctionalInterface
public interface TaskScheduler {
  /** Runs the task after this many milliseconds of monotonic time; any thread may call this. */
  void schedule(Runnable task, long delayMillis);

  /** A scheduler on one daemon thread, which starts with the first task. */
  static TaskScheduler onDaemonThread(String name) {
    ScheduledThreadPoolExecutor executor =
        new ScheduledThreadPoolExecutor(
            1,
            run -> {
              Thread thread = new Thread(run, name);
              thread.setDaemon(true);
              return thread;
            });
    return (task, delayMillis) -> executor.schedule(task, delayMillis, TimeUnit.MILLISECONDS);
  }
}
