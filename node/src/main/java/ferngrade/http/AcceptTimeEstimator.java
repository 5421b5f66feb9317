package ferngrade.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Estimates since when an accepted connection may have waited in the listener's backlog: a client's
 * deadline counts from then. Stands in the listener's pipeline, on the event loop.
 */
final class AcceptTimeEstimator extends ChannelInboundHandlerAdapter {
  /** Connections that Netty accepts in one turn of the loop; after so many, more may wait. */
  private static final int ACCEPTS_PER_TURN = 16;

  private final ArrivalClock arrivals;
  private double waitingSince;
  private int acceptedThisTurn;

  /** The last turn ended at Netty's limit, so that its backlog may reach into this one. */
  private boolean backlogLeft;

  AcceptTimeEstimator(ArrivalClock arrivals) {
    this.arrivals = arrivals;
  }

  /** The earliest time at which the connection accepted last may have come, ms on the clock. */
  double waitingSince() {
    return waitingSince;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object accepted) {
    if (acceptedThisTurn++ == 0 && !backlogLeft) {
      waitingSince = arrivals.since();
    }
    ctx.fireChannelRead(accepted);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    backlogLeft = acceptedThisTurn >= ACCEPTS_PER_TURN;
    acceptedThisTurn = 0;
    ctx.fireChannelReadComplete();
  }
}
