package ferngrade.http;

import static org.testng.Assert.assertTrue;

import ferngrade.node.Timers;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against an estimated arrival time of a connection that is much later or much earlier than
 * the actual one.
 */
public class AcceptTimeEstimatorTest {
  private static final double TURN_MILLIS = 10;

  private double now;
  private Timers timers;
  private ArrivalClock arrivals;
  private AcceptTimeEstimator estimator;
  private AcceptSwitch acceptSwitch;
  private EmbeddedChannel listener;

  @BeforeMethod
  public void start() {
    now = 0;
    timers = new Timers(() -> now, (millis, run) -> {});
    arrivals = new ArrivalClock(() -> now);
    estimator =
        new AcceptTimeEstimator(
            arrivals, () -> acceptSwitch.acceptsAtOnce(), HttpFrontend.MAX_BACKLOG_WAIT_MILLIS);
    acceptSwitch = new AcceptSwitch(timers, estimator);
    listener = new EmbeddedChannel(estimator, acceptSwitch);
  }

  private void runTurn() throws Exception {
    now += TURN_MILLIS;
    arrivals.calculateStrategy(() -> 1, true);
    timers.run();
  }

  private boolean accepts() {
    return listener.config().isAutoRead();
  }

  private void acceptOne() {
    listener.pipeline().fireChannelRead("connection");
  }

  private void completeRead() {
    listener.pipeline().fireChannelReadComplete();
  }

  /**
   * Guards against a failed accept that resets the estimate, so that connections still in the
   * backlog seem to have just arrived.
   */
  @Test
  public void keepsTheEstimateAcrossSeveralFailedAccepts() throws Exception {
    runTurn();
    double arrivedAt = now;
    while (now < arrivedAt + HttpFrontend.MAX_BACKLOG_WAIT_MILLIS / 2) {
      runTurn();
      if (accepts()) {
        completeRead();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
      }
    }
    while (!accepts()) {
      runTurn();
    }
    acceptOne();
    assertTrue(
        estimator.waitingSince() <= arrivedAt,
        "arrived at " + arrivedAt + ", estimate " + estimator.waitingSince());
  }

  /**
   * Guards against estimates that move further and further into the past while a process is at its
   * connection limit for a long time.
   */
  @Test
  public void limitsTheEstimatedWaitOfConnectionsAcceptedAtTheLimit() throws Exception {
    double maxAge = 0;
    for (int i = 0; i < 500; i++) {
      runTurn();
      acceptOne();
      maxAge = Math.max(maxAge, now - estimator.waitingSince());
      acceptSwitch.setCapacity(0);
      completeRead();
      acceptSwitch.setCapacity(1);
    }
    assertTrue(maxAge <= HttpFrontend.MAX_BACKLOG_WAIT_MILLIS + 2 * TURN_MILLIS, maxAge + " ms");
  }
}
