package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.Worker;
import ferngrade.http.RawHttp;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that fail at their time while what the worker says of them lies there,
 * and a loop that was held up has not read it yet. Each timer is late, and held as it runs.
 */
@Test(timeOut = 30_000)
public class UnreadCallbacksTest extends HeldLoopFixture {
  private static final double DEADLINE = 9000;

  /** How long behind its deadline the node answers a request itself, and a bit more. */
  private static final double GUARD = 11;

  private static final double ACCEPTANCE_TIMEOUT = 1001;
  private static final String ACCEPTED = RawHttp.message("HTTP/1.1 202 Accepted", "");

  private volatile long workerId;

  /** Sends each job to the one worker. */
  @Override
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (self, method, with) -> {
              switch (method.getName()) {
                case "members" -> workerId = ((Worker) ((List<?>) with[2]).get(0)).id();
                case "arrived" -> actions.send(((Job) with[1]).id(), workerId, 0);
                default -> {}
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  private static String callback(String path, String state) {
    String body = "{\"id\":\"a\",\"from\":\"s-1\",\"state\":\"%s\",\"result\":\"soup\"}";
    return RawHttp.message("POST " + path + " HTTP/1.1", body.formatted(state));
  }

  /** Where a callback comes. */
  private enum Via {
    NEW_CONNECTION,
    KEPT_CONNECTION,
    RELAY
  }

  @DataProvider
  public Object[][] callbacks() {
    return new Object[][] {
      {Via.NEW_CONNECTION, true, DEADLINE},
      {Via.KEPT_CONNECTION, true, DEADLINE},
      {Via.RELAY, true, DEADLINE},
      {Via.NEW_CONNECTION, true, DEADLINE + GUARD},
      {Via.KEPT_CONNECTION, true, DEADLINE + GUARD},
      {Via.RELAY, true, DEADLINE + GUARD},
      {Via.NEW_CONNECTION, false, ACCEPTANCE_TIMEOUT},
      {Via.RELAY, false, ACCEPTANCE_TIMEOUT},
    };
  }

  @Test(dataProvider = "callbacks", timeOut = 30_000)
  public void jobWhoseResultCameBeforeItsTimerRunsIsServed(Via via, boolean accepted, double late)
      throws Exception {
    start(64);
    RawHttp client = connect(node.address(), request("a"));
    try (RawHttp job = new RawHttp(worker.accept())) {
      job.read();
      RawHttp kept = null;
      if (accepted) {
        job.write(ACCEPTED);
        kept = connect(node.address(), callback("/_jobs/news", "started"));
        kept.read();
      }
      settled();
      holdNextAt(TIMER_IS_LATE);
      advance(late);
      held.await();
      InetSocketAddress relays = node.adminAddress();
      switch (via) {
        case KEPT_CONNECTION -> kept.write(callback("/_jobs/news", "done"));
        case NEW_CONNECTION -> connect(node.address(), callback("/_jobs/news", "done"));
        default -> connect(relays, callback("/-/news", "done"));
      }
      release.countDown();
      advance(GUARD);
      assertEquals(outcome(client), "200");
    }
  }
}
