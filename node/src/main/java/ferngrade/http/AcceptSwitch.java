package ferngrade.http;

import ferngrade.node.Timers;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.EnumSet;
import java.util.Set;

/**
 * The one owner of whether a listening channel accepts: it does unless there is a reason to pause.
 * A failed accept is one, for a moment; it stops here, so that Netty's own answer, a second's pause
 * that ends all others, is not given.
 */
final class AcceptSwitch extends ChannelInboundHandlerAdapter {
  /**
   * The pause after a failed accept, ms. The connection that could not be accepted keeps the
   * listener readable: with no pause at all, the loop would spin until the fault is over.
   */
  static final double BACKOFF = 20;

  private final Timers timers;
  private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);
  private Channel listener;

  /** Why a listener does not accept. */
  enum Reason {
    /** There are as many connections as may be open. */
    FULL,
    /** The next process accepts on this socket. */
    HANDED_OVER,
    /** This process cannot serve yet, and an earlier one accepts on this socket. */
    NOT_READY,
    /** An accept has just failed. */
    ACCEPT_FAILED
  }

  AcceptSwitch(Timers timers) {
    this.timers = timers;
  }

  /** Sets or clears one reason to pause. */
  void pause(Reason reason, boolean holds) {
    boolean changed = holds ? reasons.add(reason) : reasons.remove(reason);
    if (changed) {
      apply();
    }
  }

  private void apply() {
    if (listener != null && listener.isOpen()) {
      listener.config().setAutoRead(reasons.isEmpty());
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    listener = ctx.channel();
    apply();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!reasons.contains(Reason.ACCEPT_FAILED)) {
      pause(Reason.ACCEPT_FAILED, true);
      timers.after(BACKOFF, () -> pause(Reason.ACCEPT_FAILED, false));
    }
  }
}
