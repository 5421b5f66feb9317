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
 * Guards against requests that time out although their callback has arrived and a delayed event
 * loop has not read it yet. Each test delays a timer and blocks the loop while the timer runs.
 */
@Test(timeOut = 30_000)
public class UnreadCallbacksTest extends BlockedLoopFixture {
  private static final double DEADLINE_MILLIS = 9000;

  /**
   * The time after a deadline, in ms, when the node itself has already answered the request: the
   * delay of that answer plus 1 ms.
   */
  private static final double ANSWER_GUARD_MILLIS = 11;

  private static final double ACCEPTANCE_TIMEOUT_MILLIS = 1001;
  private static final String ACCEPTED = RawHttp.message("HTTP/1.1 202 Accepted", "");

  private volatile long workerId;

  /** Returns a dispatcher that sends each job to the only worker. */
  @Override
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) -> {
              switch (method.getName()) {
                case "endpointsUpdated" ->
                    workerId = ((Worker) ((List<?>) arguments[2]).get(0)).id();
                case "requestArrived" -> actions.send(((Job) arguments[1]).id(), workerId, 0);
                default -> {}
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  private static String callback(String path, String state) {
    String body = "{\"id\":\"a\",\"from\":\"s-1\",\"state\":\"%s\",\"result\":\"soup\"}";
    return RawHttp.message("POST " + path + " HTTP/1.1", body.formatted(state));
  }

  /** The path on which a callback arrives. */
  private enum Via {
    NEW_CONNECTION,
    KEPT_CONNECTION,
    RELAY
  }

  @DataProvider
  public Object[][] callbacks() {
    return new Object[][] {
      {Via.NEW_CONNECTION, true, DEADLINE_MILLIS},
      {Via.KEPT_CONNECTION, true, DEADLINE_MILLIS},
      {Via.RELAY, true, DEADLINE_MILLIS},
      {Via.NEW_CONNECTION, true, DEADLINE_MILLIS + ANSWER_GUARD_MILLIS},
      {Via.KEPT_CONNECTION, true, DEADLINE_MILLIS + ANSWER_GUARD_MILLIS},
      {Via.RELAY, true, DEADLINE_MILLIS + ANSWER_GUARD_MILLIS},
      {Via.NEW_CONNECTION, false, ACCEPTANCE_TIMEOUT_MILLIS},
      {Via.RELAY, false, ACCEPTANCE_TIMEOUT_MILLIS},
    };
  }

  @Test(dataProvider = "callbacks", timeOut = 30_000)
  public void servesJobWhoseResultArrivedBeforeItsTimerRan(Via via, boolean accepted, double delay)
      throws Exception {
    start(64);
    RawHttp client = connect(node.address(), request("a"));
    try (RawHttp job = new RawHttp(worker.accept())) {
      job.read();
      RawHttp keptConnection = null;
      if (accepted) {
        job.write(ACCEPTED);
        keptConnection = connect(node.address(), callback("/_jobs/news", "started"));
        keptConnection.read();
      }
      awaitSettled();
      blockLoopAt(LATE_TIMER_LINE);
      advance(delay);
      blockReached.await();
      InetSocketAddress relayAddress = node.adminAddress();
      switch (via) {
        case KEPT_CONNECTION -> keptConnection.write(callback("/_jobs/news", "done"));
        case NEW_CONNECTION -> connect(node.address(), callback("/_jobs/news", "done"));
        default -> connect(relayAddress, callback("/-/news", "done"));
      }
      blockReleased.countDown();
      advance(ANSWER_GUARD_MILLIS);
      assertEquals(outcome(client), "200");
    }
  }
}
