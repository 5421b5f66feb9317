package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntSupplier;

/**
 * Estimates since when an accepted connection may have waited in the listener's backlog: the time
 * that a client or an operator waits counts from then. Stands in the listener's pipeline, on the
 * event loop.
 */
final class AcceptTimeEstimator extends ChannelInboundHandlerAdapter
    implements AcceptSwitch.PauseListener {
  private final ArrivalClock arrivals;

  /**
   * How many connections one read of the listener accepts at most; after so many, more may wait.
   */
  private final IntSupplier acceptsAtOnce;

  /** How long a connection is taken to have waited at most, ms. */
  private final double maxWait;

  private double waitingSince;
  private int acceptedThisTurn;
  private int limit;
  private boolean paused;

  /** What is accepted up to this turn of the loop may have waited since {@link #waitingSince}. */
  private long waitedUntilTurn = -1;

  /** An estimator that takes no connection to have waited for more than {@code maxWait} ms. */
  AcceptTimeEstimator(ArrivalClock arrivals, IntSupplier acceptsAtOnce, double maxWait) {
    this.arrivals = arrivals;
    this.acceptsAtOnce = acceptsAtOnce;
    this.maxWait = maxWait;
  }

  /** The earliest time at which the connection accepted last may have come, ms on the clock. */
  double waitingSince() {
    return waitingSince;
  }

  @Override
  public void paused() {
    if (!paused && !mayHaveWaited()) {
      waitingSince = arrivals.since();
    }
    paused = true;
  }

  @Override
  public void resumed() {
    paused = false;
    lookAgainInTheNextTurn();
  }

  /** What waits now is seen by the next select at the latest. */
  private void lookAgainInTheNextTurn() {
    waitedUntilTurn = arrivals.turn() + 1;
  }

  private boolean mayHaveWaited() {
    return arrivals.turn() <= waitedUntilTurn;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    if (acceptedThisTurn++ == 0) {
      limit = acceptsAtOnce.getAsInt();
      waitingSince =
          mayHaveWaited() ? Math.max(waitingSince, arrivals.since() - maxWait) : arrivals.since();
    }
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (acceptedThisTurn >= limit) {
      lookAgainInTheNextTurn();
    } else if (acceptedThisTurn > 0) {
      // Nothing waits any more. Where an accept has failed, what has waited still does.
      waitedUntilTurn = -1;
    }
    acceptedThisTurn = 0;
    ctx.fireChannelReadComplete();
  }
}
