package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.function.IntSupplier;

/**
 * Estimates since when an accepted connection may have waited in the listener's backlog: a client's
 * deadline counts from then. Stands in the listener's pipeline, on the event loop.
 */
final class AcceptTimeEstimator extends ChannelInboundHandlerAdapter
    implements AcceptSwitch.Listener {
  private final ArrivalClock arrivals;

  /**
   * How many connections one read of the listener accepts at most; after so many, more may wait.
   */
  private final IntSupplier acceptsAtOnce;

  private double waitingSince;
  private int acceptedThisTurn;
  private int limit;
  private boolean paused;

  /** What is accepted up to this turn of the loop may have waited since {@link #waitingSince}. */
  private long waitedUntilTurn = -1;

  AcceptTimeEstimator(ArrivalClock arrivals, IntSupplier acceptsAtOnce) {
    this.arrivals = arrivals;
    this.acceptsAtOnce = acceptsAtOnce;
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
      if (!mayHaveWaited()) {
        waitingSince = arrivals.since();
      }
    }
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (acceptedThisTurn >= Math.max(1, limit)) {
      lookAgainInTheNextTurn();
    } else {
      waitedUntilTurn = -1;
    }
    acceptedThisTurn = 0;
    ctx.fireChannelReadComplete();
  }
}
