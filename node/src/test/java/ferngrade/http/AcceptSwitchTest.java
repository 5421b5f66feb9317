package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.http.AcceptSwitch.Reason;
import ferngrade.node.Timers;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when a listener accepts connections, with a simulated clock. */
public class AcceptSwitchTest {
  private double now;
  private Timers timers;
  private AcceptSwitch acceptSwitch;
  private EmbeddedChannel listener;

  @BeforeMethod
  public void start() {
    now = 0;
    timers = new Timers(() -> now, (millis, run) -> {});
    acceptSwitch = new AcceptSwitch(timers, AcceptSwitch.PauseListener.NONE);
    listener = new EmbeddedChannel(acceptSwitch);
  }

  private void failAccept() {
    listener.pipeline().fireExceptionCaught(new IOException("Too many open files"));
  }

  private void advance(double millis) {
    now += millis;
    timers.run();
  }

  private boolean accepts() {
    return listener.config().isAutoRead();
  }

  @Test
  public void pausesForOneBackoffAfterAFailedAccept() {
    failAccept();
    assertFalse(accepts());
    advance(AcceptSwitch.BACKOFF_MILLIS - 1);
    assertFalse(accepts());
    advance(1);
    assertTrue(accepts());
    listener.checkException();
  }

  @Test
  public void retriesAcceptOncePerBackoffWhileAcceptsFail() {
    int failed = 0;
    while (now < 2000) {
      if (accepts()) {
        failed++;
        failAccept();
      }
      advance(1);
    }
    assertEquals(failed, (int) (2000 / AcceptSwitch.BACKOFF_MILLIS));
    advance(AcceptSwitch.BACKOFF_MILLIS);
    assertTrue(accepts());
  }

  @DataProvider
  public Object[][] lastingReasons() {
    return new Object[][] {{Reason.FULL}, {Reason.HANDED_OVER}};
  }

  @Test(dataProvider = "lastingReasons")
  public void staysPausedForAnotherReasonAfterTheBackoff(Reason reason) {
    failAccept();
    acceptSwitch.pause(reason, true);
    advance(5000);
    assertFalse(accepts());
    acceptSwitch.pause(reason, false);
    assertTrue(accepts());
  }

  @Test
  public void completesTheBackoffWhenAnotherReasonEnds() {
    acceptSwitch.pause(Reason.FULL, true);
    failAccept();
    acceptSwitch.pause(Reason.FULL, false);
    assertFalse(accepts());
    advance(AcceptSwitch.BACKOFF_MILLIS);
    assertTrue(accepts());
  }

  @Test
  public void appliesAReasonThatWasSetBeforeTheListenerExists() {
    AcceptSwitch withoutListener = new AcceptSwitch(timers, AcceptSwitch.PauseListener.NONE);
    withoutListener.pause(Reason.FULL, true);
    assertFalse(new EmbeddedChannel(withoutListener).config().isAutoRead());
  }
}
