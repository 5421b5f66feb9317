package ferngrade.http;

import ferngrade.node.Timers;
import ferngrade.transport.PendingReads;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import java.util.EnumSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * The one owner of whether a listening channel accepts, and how many connections at a time: it
 * accepts while there are places, unless there is another reason to pause. What it does not accept
 * waits in the backlog. A failed accept is one, for a moment; it stops here, so that Netty's own
 * answer, a second's pause that ends all others, is not given.
 */
final class AcceptSwitch extends ChannelInboundHandlerAdapter {
  /**
   * The pause after a failed accept, ms. The connection that could not be accepted keeps the
   * listener readable: with no pause at all, the loop would spin until the fault is over.
   */
  static final double BACKOFF = 20;

  private final Timers timers;

  private final PauseListener pauses;

  private int places = PendingReads.MAX_ACCEPTS;
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

  /** Is notified of pauses that leave connections waiting, with nobody else to accept them. */
  interface PauseListener {
    /** Is not interested. */
    PauseListener NONE =
        new PauseListener() {
          @Override
          public void paused() {}

          @Override
          public void resumed() {}
        };

    /** Connections that come from now on have to wait. */
    void paused();

    /** Those that have waited are accepted from now on. */
    void resumed();
  }

  AcceptSwitch(Timers timers, PauseListener pauses) {
    this.timers = timers;
    this.pauses = pauses;
  }

  /** Sets how many more connections there may be; with none left it pauses. */
  void places(int free) {
    places = Math.max(1, Math.min(free, PendingReads.MAX_ACCEPTS));
    limitAccepts();
    pause(Reason.FULL, free <= 0);
  }

  /** How many connections one read of the listener accepts at most. */
  int acceptsAtOnce() {
    return places;
  }

  /**
   * Accepts the connections that wait, unless it pauses; see {@link PendingReads#acceptWaiting}.
   */
  void acceptWaiting(LongSupplier accepted, BooleanSupplier capacity) {
    if (listener != null && reasons.isEmpty()) {
      PendingReads.acceptWaiting((AbstractNioChannel) listener, accepted, capacity);
    }
  }

  /** Sets or clears one reason to pause. */
  void pause(Reason reason, boolean holds) {
    boolean changed = holds ? reasons.add(reason) : reasons.remove(reason);
    if (changed) {
      apply();
      if (reason == Reason.FULL || reason == Reason.ACCEPT_FAILED) {
        notifyPauses();
      }
    }
  }

  private void notifyPauses() {
    if (reasons.contains(Reason.FULL) || reasons.contains(Reason.ACCEPT_FAILED)) {
      pauses.paused();
    } else {
      pauses.resumed();
    }
  }

  private void limitAccepts() {
    if (listener != null
        && listener.config().getRecvByteBufAllocator()
            instanceof MaxMessagesRecvByteBufAllocator allocator) {
      allocator.maxMessagesPerRead(places);
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
    limitAccepts();
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
