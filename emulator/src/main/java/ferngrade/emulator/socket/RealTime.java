package ferngrade.emulator.socket;

import ferngrade.emulator.Scheduler;
import ferngrade.node.Clock;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Schedules tasks on one event loop in real time. It also measures the lateness of periodic ticks:
 * if the machine was too busy for the emulator, the run is invalid and its results do not describe
 * the program under test.
 */
final class RealTime implements Scheduler {
  private static final double TICK_MILLIS = 10;

  /** The lateness above which a tick counts as late, in ms. */
  private static final double LATE_TICK_MILLIS = 25;

  /** The lateness of a single tick above which a run is invalid, in ms. */
  private static final double MAX_LATENESS_MILLIS = 400;

  /** The share of late ticks above which a run is invalid. */
  private static final double MAX_LATE_SHARE = 0.02;

  private final Clock clock = Clock.system();
  private final EventLoop loop;
  private long ticks;
  private long lateTicks;
  private double maxLateness;

  RealTime(EventLoop loop) {
    this.loop = loop;
  }

  void watchLateness() {
    double due = now() + TICK_MILLIS;
    after(
        TICK_MILLIS,
        () -> {
          tick(now() - due);
          watchLateness();
        });
  }

  void tick(double lateness) {
    ticks++;
    lateTicks += lateness > LATE_TICK_MILLIS ? 1 : 0;
    maxLateness = Math.max(maxLateness, lateness);
  }

  /** Returns the reason why the run is invalid, or null if it is valid. */
  String invalidReason() {
    if (maxLateness > MAX_LATENESS_MILLIS) {
      return String.format("the emulator's event loop was blocked for %.0f ms", maxLateness);
    }
    return lateTicks <= MAX_LATE_SHARE * ticks
        ? null
        : String.format(
            "%d of %d ticks of the emulator's event loop were more than %.0f ms late",
            lateTicks, ticks, LATE_TICK_MILLIS);
  }

  @Override
  public double now() {
    return clock.now();
  }

  @Override
  public Handle after(double millis, Runnable task) {
    if (Double.isInfinite(millis)) {
      return () -> {};
    }
    Future<?> scheduled =
        loop.schedule(task, (long) (Math.max(0, millis) * 1e6), TimeUnit.NANOSECONDS);
    return () -> scheduled.cancel(false);
  }
}
