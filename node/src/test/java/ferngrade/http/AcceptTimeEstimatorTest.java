package ferngrade.http;

import static org.testng.Assert.assertTrue;

import ferngrade.node.Timers;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against connections that are taken to have come much later, or earlier, than they did. */
public class AcceptTimeEstimatorTest {
  private static final double TURN = 10;

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
            arrivals, () -> acceptSwitch.acceptsAtOnce(), HttpFrontend.MAX_BACKLOG_WAIT);
    acceptSwitch = new AcceptSwitch(timers, estimator);
    listener = new EmbeddedChannel(estimator, acceptSwitch);
  }

  private void turn() throws Exception {
    now += TURN;
    arrivals.calculateStrategy(() -> 1, true);
    timers.run();
  }

  private boolean accepts() {
    return listener.config().isAutoRead();
  }

  private void acceptOne() {
    listener.pipeline().fireChannelRead("connection");
  }

  private void readEnds() {
    listener.pipeline().fireChannelReadComplete();
  }

  /**
   * Fails where each failed accept makes what still waits in the backlog seem to have just come.
   */
  @Test
  public void connectionThatWaitedThroughSeveralFailedAcceptsIsKnownToHaveWaited()
      throws Exception {
    turn();
    double came = now;
    while (now < came + HttpFrontend.MAX_BACKLOG_WAIT / 2) {
      turn();
      if (accepts()) {
        readEnds();
        listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
      }
    }
    while (!accepts()) {
      turn();
    }
    acceptOne();
    assertTrue(estimator.waitingSince() <= came, "came " + came + ": " + estimator.waitingSince());
  }

  /** Fails where a process that is full for long takes all that it accepts for ever older. */
  @Test
  public void connectionAcceptedByAFullProcessIsDatedBackByNoMoreThanTheBound() throws Exception {
    double oldest = 0;
    for (int i = 0; i < 500; i++) {
      turn();
      acceptOne();
      oldest = Math.max(oldest, now - estimator.waitingSince());
      acceptSwitch.places(0);
      readEnds();
      acceptSwitch.places(1);
    }
    assertTrue(oldest <= HttpFrontend.MAX_BACKLOG_WAIT + 2 * TURN, oldest + " ms");
  }
}
