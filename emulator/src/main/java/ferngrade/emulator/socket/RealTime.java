package ferngrade.emulator.socket;

import ferngrade.emulator.Scheduler;
import ferngrade.node.Clock;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * The machine's time, on one event loop. It also watches how late its own ticks come: a machine
 * that was too busy for the stand-ins says nothing about the program.
 */
final class RealTime implements Scheduler {
  private static final double TICK = 10;

  /** A tick this late counts as late, and one this late is enough, ms. */
  private static final double LATE = 25;

  private static final double HOPELESS = 400;

  /** The share of late ticks from which on a run is void. */
  private static final double MOST_LATE = 0.02;

  private final Clock clock = Clock.system();
  private final EventLoop loop;
  private long ticks;
  private long late;
  private double latest;

  RealTime(EventLoop loop) {
    this.loop = loop;
  }

  void watch() {
    double due = now() + TICK;
    after(
        TICK,
        () -> {
          tick(now() - due);
          watch();
        });
  }

  void tick(double lateness) {
    ticks++;
    late += lateness > LATE ? 1 : 0;
    latest = Math.max(latest, lateness);
  }

  /** Why the run says nothing; null if it does. */
  String tooBusy() {
    if (latest > HOPELESS) {
      return String.format("the stand-ins stood still for %.0f ms", latest);
    }
    return late <= MOST_LATE * ticks
        ? null
        : String.format(
            "%d of %d ticks of the stand-ins came over %.0f ms late", late, ticks, LATE);
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
    Future<?> future =
        loop.schedule(task, (long) (Math.max(0, millis) * 1e6), TimeUnit.NANOSECONDS);
    return () -> future.cancel(false);
  }
}
