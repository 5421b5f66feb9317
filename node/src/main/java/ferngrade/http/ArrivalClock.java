package ferngrade.http;

import ferngrade.node.Clock;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import io.netty.util.IntSupplier;
import java.util.function.DoubleConsumer;

/**
 * Since when bytes that are read now may have lain on this machine. A client's time for an answer
 * counts from its last byte, whether the loop reads that at once or after a turn full of other
 * work: what one turn reads has come after the turn before had looked. Belongs to the event loop,
 * whose turns it sees begin.
 */
public final class ArrivalClock implements SelectStrategyFactory, SelectStrategy {
  private final Clock clock;
  private long turn;

  /** When this turn looked first, and the one before for the last time. */
  private double looked;

  private double lookedBefore;

  /**
   * Whether this turn waited, as nothing was ready; then what it reads came when it began to work.
   */
  private boolean waited;

  private double began = Double.NaN;
  private DoubleConsumer turnLengths = length -> {};

  public ArrivalClock(Clock clock) {
    this.clock = clock;
    this.looked = clock.now();
    this.lookedBefore = looked;
  }

  /** Sets who is passed the working time of each turn, ms. */
  public void onTurn(DoubleConsumer listener) {
    turnLengths = listener;
  }

  @Override
  public SelectStrategy newSelectStrategy() {
    return this;
  }

  @Override
  public int calculateStrategy(IntSupplier selectNow, boolean hasTasks) throws Exception {
    double now = clock.now();
    if (!waited || !Double.isNaN(began)) {
      turnLengths.accept(now - (waited ? began : looked));
    }
    lookedBefore = waited && !Double.isNaN(began) ? began : looked;
    looked = now;
    began = Double.NaN;
    turn++;
    int ready = selectNow.get();
    waited = ready == 0 && !hasTasks;
    return waited ? SelectStrategy.SELECT : ready;
  }

  /** The loop does something in this turn; the first call marks the end of its wait. */
  public void working() {
    if (Double.isNaN(began)) {
      began = clock.now();
    }
  }

  /** The number of the loop's turn. */
  long turn() {
    return turn;
  }

  /** The earliest time at which what this turn reads may have come, ms on the clock. */
  public double since() {
    working();
    return waited ? began : lookedBefore;
  }
}
