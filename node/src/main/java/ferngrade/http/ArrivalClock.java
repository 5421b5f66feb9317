package ferngrade.http;

import ferngrade.node.Clock;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.function.DoubleConsumer;

/**
 * Provides the earliest time at which the bytes that are read now may have arrived on this machine.
 * A client's deadline counts from the last byte of its request, whether the event loop reads that
 * byte at once or after a turn full of other work: the bytes that one turn reads arrived after the
 * select of the previous turn. Confined to the event loop, which calls it at the beginning of each
 * turn.
 */
public final class ArrivalClock implements SelectStrategyFactory, SelectStrategy {
  private final Clock clock;
  private long turn;

  /** The time at which this turn began its first select, in ms. */
  private double selectedAt;

  /** The time of the previous turn's last select, in ms. */
  private double previousSelectedAt;

  /**
   * True if this turn blocked in select because nothing was ready. The bytes that the turn reads
   * then arrived no earlier than the start of its work.
   */
  private boolean blocked;

  private double workStartedAt = Double.NaN;
  private DoubleConsumer turnListener = length -> {};

  public ArrivalClock(Clock clock) {
    this.clock = clock;
    this.selectedAt = clock.now();
    this.previousSelectedAt = selectedAt;
  }

  /** Sets the listener that receives the time each turn spent working, in ms. */
  public void setTurnListener(DoubleConsumer listener) {
    turnListener = listener;
  }

  @Override
  public SelectStrategy newSelectStrategy() {
    return this;
  }

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    double now = clock.now();
    if (!blocked || !Double.isNaN(workStartedAt)) {
      turnListener.accept(now - (blocked ? workStartedAt : selectedAt));
    }
    previousSelectedAt = blocked && !Double.isNaN(workStartedAt) ? workStartedAt : selectedAt;
    selectedAt = now;
    workStartedAt = Double.NaN;
    turn++;
    int ready = selectNow.get();
    blocked = ready == 0 && !hasTasks;
    return blocked ? SelectStrategy.SELECT : ready;
  }

  /**
   * Marks that the event loop does work in this turn; the first call in a turn marks the end of its
   * wait.
   */
  public void markWorking() {
    if (Double.isNaN(workStartedAt)) {
      workStartedAt = clock.now();
    }
  }

  /** Returns the number of the current turn of the event loop. */
  long turn() {
    return turn;
  }

  /**
   * Returns the earliest time at which the bytes read in this turn may have arrived, in ms on the
   * node's clock.
   */
  public double earliestArrival() {
    markWorking();
    return blocked ? workStartedAt : previousSelectedAt;
  }
}
