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
 * Controls whether a listening channel accepts connections, and how many at a time; no other class
 * does. The channel accepts while there is capacity, unless there is another reason to pause.
 * Connections that are not accepted wait in the backlog. A failed accept pauses the channel for a
 * moment. The exception is not passed on, because Netty's own reaction, a pause of 1 s, would end
 * all other pauses when it expires.
 */
final class AcceptSwitch extends ChannelInboundHandlerAdapter {
  /**
   * The pause after a failed accept, in ms. The connection that could not be accepted keeps the
   * listener readable, so that without a pause the event loop would spin until the fault is over.
   */
  static final double BACKOFF_MILLIS = 20;

  private final Timers timers;

  private final PauseListener pauseListener;

  private int maxAccepts = PendingReads.MAX_ACCEPTS;
  private final Set<Reason> reasons = EnumSet.noneOf(Reason.class);
  private Channel listener;

  /** The reason why a listener does not accept. */
  enum Reason {
    /** The maximum number of connections is open. */
    FULL,
    /** The next process accepts on this socket. */
    HANDED_OVER,
    /** This process is not ready yet, and an earlier process accepts on this socket. */
    NOT_READY,
    /** An accept has just failed. */
    ACCEPT_FAILED
  }

  /**
   * Receives notifications of pauses during which connections wait and no other process accepts
   * them.
   */
  interface PauseListener {
    /** Ignores all notifications. */
    PauseListener NONE =
        new PauseListener() {
          @Override
          public void paused() {}

          @Override
          public void resumed() {}
        };

    /** Called when connections that arrive from now on have to wait. */
    void paused();

    /** Called when waiting connections are accepted again. */
    void resumed();
  }

  AcceptSwitch(Timers timers, PauseListener pauseListener) {
    this.timers = timers;
    this.pauseListener = pauseListener;
  }

  /**
   * Sets the number of further connections that may be accepted; the channel pauses while there is
   * no capacity.
   */
  void setCapacity(int free) {
    maxAccepts = Math.max(1, Math.min(free, PendingReads.MAX_ACCEPTS));
    limitAccepts();
    pause(Reason.FULL, free <= 0);
  }

  /** Returns the maximum number of connections that one read of the listener accepts. */
  int acceptsAtOnce() {
    return maxAccepts;
  }

  /**
   * Accepts the waiting connections unless the channel is paused; see {@link
   * PendingReads#acceptWaiting}.
   */
  void acceptWaiting(LongSupplier accepted, BooleanSupplier hasCapacity) {
    if (listener != null && reasons.isEmpty()) {
      PendingReads.acceptWaiting((AbstractNioChannel) listener, accepted, hasCapacity);
    }
  }

  /** Sets or clears one reason to pause. */
  void pause(Reason reason, boolean active) {
    boolean changed = active ? reasons.add(reason) : reasons.remove(reason);
    if (changed) {
      apply();
      if (reason == Reason.FULL || reason == Reason.ACCEPT_FAILED) {
        notifyPauses();
      }
    }
  }

  private void notifyPauses() {
    if (reasons.contains(Reason.FULL) || reasons.contains(Reason.ACCEPT_FAILED)) {
      pauseListener.paused();
    } else {
      pauseListener.resumed();
    }
  }

  private void limitAccepts() {
    if (listener != null
        && listener.config().getRecvByteBufAllocator()
            instanceof MaxMessagesRecvByteBufAllocator allocator) {
      allocator.maxMessagesPerRead(maxAccepts);
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
      timers.after(BACKOFF_MILLIS, () -> pause(Reason.ACCEPT_FAILED, false));
    }
  }
}
