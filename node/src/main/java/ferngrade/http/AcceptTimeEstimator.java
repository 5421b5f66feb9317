package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntSupplier;

/**
 * Estimates the earliest time at which an accepted connection may have entered the listener's
 * backlog. The time that a client or an operator waits for an answer counts from there. Part of the
 * listener's pipeline, on the event loop.
 */
final class AcceptTimeEstimator extends ChannelInboundHandlerAdapter
    implements AcceptSwitch.PauseListener {
  private final ArrivalClock arrivals;

  /**
   * The maximum number of connections that one read of the listener accepts. After a read that
   * accepts this number, further connections may still be waiting.
   */
  private final IntSupplier acceptsAtOnce;

  /** The maximum time that a connection is assumed to have waited, in ms. */
  private final double maxWait;

  private double waitingSince;
  private int acceptedThisTurn;
  private int acceptLimit;
  private boolean paused;

  /**
   * The last turn of the event loop in which the listener may accept connections that have been in
   * the backlog since {@link #waitingSince}; -1 once all waiting connections are accepted.
   */
  private long waitedUntilTurn = -1;

  /**
   * Creates an estimator that assumes no connection to have waited for more than {@code maxWait}
   * ms.
   */
  AcceptTimeEstimator(ArrivalClock arrivals, IntSupplier acceptsAtOnce, double maxWait) {
    this.arrivals = arrivals;
    this.acceptsAtOnce = acceptsAtOnce;
    this.maxWait = maxWait;
  }

  /**
   * Returns the earliest time at which the most recently accepted connection may have arrived, in
   * ms on the node's clock.
   */
  double waitingSince() {
    return waitingSince;
  }

  @Override
  public void paused() {
    if (!paused && !mayHaveWaited()) {
      waitingSince = arrivals.earliestArrival();
    }
    paused = true;
  }

  @Override
  public void resumed() {
    paused = false;
    extendWaitToNextTurn();
  }

  /**
   * Treats connections accepted up to the next turn as having waited: the next select reports all
   * that wait now.
   */
  private void extendWaitToNextTurn() {
    waitedUntilTurn = arrivals.turn() + 1;
  }

  private boolean mayHaveWaited() {
    return arrivals.turn() <= waitedUntilTurn;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    if (acceptedThisTurn++ == 0) {
      acceptLimit = acceptsAtOnce.getAsInt();
      waitingSince =
          mayHaveWaited()
              ? Math.max(waitingSince, arrivals.earliestArrival() - maxWait)
              : arrivals.earliestArrival();
    }
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (acceptedThisTurn >= acceptLimit) {
      extendWaitToNextTurn();
    } else if (acceptedThisTurn > 0) {
      // The read accepted fewer connections than its limit, so no connection is waiting any more.
      // If every accept failed, acceptedThisTurn is 0 and the estimate is kept, because connections
      // are still waiting.
      waitedUntilTurn = -1;
    }
    acceptedThisTurn = 0;
    ctx.fireChannelReadComplete();
  }
}
