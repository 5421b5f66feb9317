package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.config.NodeConfig;
import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.Worker;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A client leaves, or a worker begins to drain, while the node is held up between an event and the
 * attempt that follows from it: the attempt is not begun, though nobody reads of that before the
 * node goes on. The decisions are the test's.
 */
@Test(timeOut = 30_000)
public class DepartedClientTest extends NodeIntegrationFixture {
  private static final String DECLINED =
      "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /** More than waits behind a request in work, and more than is dropped before reading stops. */
  private static final int FLOOD = 14_000;

  /** The event that the attempt follows from, and at which the node is held up. */
  private enum Cause {
    REQUEST,
    DECLINED_ATTEMPT,
    HEDGE_DELAY
  }

  private enum Leaving {
    CLOSES,
    RESETS,
    SHUTS_ITS_SENDING_SIDE
  }

  private final List<Long> workers = new ArrayList<>();
  private Cause cause;
  private CountDownLatch held;
  private CountDownLatch release;

  @Override
  NodeServer startServer(NodeConfig config, Clock clock, RateLimitedLog log) throws Exception {
    return NodeServer.start(config, clock, log, (told, at, actions) -> scripted(actions));
  }

  /** Sends each request to the first worker, and "a" once more, by the cause of this run. */
  private Dispatcher scripted(Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (self, method, with) -> {
              switch (method.getName()) {
                case "members" -> {
                  workers.clear();
                  ((List<?>) with[2]).forEach(each -> workers.add(((Worker) each).id()));
                }
                case "arrived" -> arrived(((Job) with[1]).id(), actions);
                case "ended" -> {
                  if (with[3] == AttemptOutcome.NEVER_SENT) {
                    actions.refuse((String) with[1], 0);
                  }
                  if (cause == Cause.DECLINED_ATTEMPT && with[3] == AttemptOutcome.FULL) {
                    hold();
                    actions.send("a", workers.get(0), 0);
                  }
                }
                case "timer" -> {
                  hold();
                  actions.send("a", workers.get(1), 0);
                }
                default -> {}
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  private void arrived(String id, Actions actions) throws InterruptedException {
    boolean hedged = cause == Cause.HEDGE_DELAY;
    if (id.equals("a") && cause == Cause.REQUEST) {
      hold();
    }
    actions.send(id, workers.get(hedged && id.equals("b") ? 1 : 0), 0);
    if (id.equals("a") && hedged) {
      actions.timer(100, 1);
    }
  }

  private void hold() throws InterruptedException {
    held.countDown();
    release.await();
  }

  @DataProvider
  public Object[][] departures() {
    List<Object[]> departures = new ArrayList<>();
    for (Cause each : Cause.values()) {
      for (Leaving how : Leaving.values()) {
        departures.add(new Object[] {each, how, 0});
      }
    }
    departures.add(new Object[] {Cause.DECLINED_ATTEMPT, Leaving.CLOSES, 1});
    departures.add(new Object[] {Cause.DECLINED_ATTEMPT, Leaving.CLOSES, FLOOD});
    return departures.toArray(Object[][]::new);
  }

  @Test(dataProvider = "departures")
  public void clientThatLeavesWhileTheNodeIsHeldUpHasNothingBegunForIt(
      Cause by, Leaving how, int pipelined) throws Exception {
    cause = by;
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(10_000);
      start(
          list(1, "active")
              .replace(
                  "{\"id\":\"s-2\",\"host_port\":7,",
                  "{\"id\":\"s-2\",\"host_port\":\"127.0.0.1:"
                      + other.getLocalPort()
                      + "\",\"locality\":\"z\",\"flavor\":\"k\","),
          () -> now);
      Socket leaving = new Socket(node.address().getAddress(), node.address().getPort());
      new RawHttp(leaving)
          .write(RawHttp.message(job("POST /api", "a", "draft"), "") + READY.repeat(pipelined));
      if (by != Cause.REQUEST) {
        RawHttp worked = new RawHttp(worker.accept());
        assertEquals(worked.read().headers().get("Req-Id"), "a");
        settled();
        advance(100);
        worked.write(by == Cause.DECLINED_ATTEMPT ? DECLINED : "");
      }
      held.await();
      leave(leaving, how);
      release.countDown();
      settled();
      advance(100);
      try (RawHttp client = RawHttp.to(node.address())) {
        client.write(RawHttp.message(job("POST /api", "b", "draft"), ""));
        // The connection that was dialled for the attempt: kept, as nothing was written to it.
        RawHttp dialled = new RawHttp((by == Cause.HEDGE_DELAY ? other : worker).accept());
        assertEquals(dialled.read().headers().get("Req-Id"), "b");
      }
    }
  }

  /**
   * A drain that is told while the node is held up counts before the attempt that would have gone
   * there.
   */
  @Test
  public void workerThatDrainsWhileTheNodeIsHeldUpGetsNothingMore() throws Exception {
    cause = Cause.REQUEST;
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "first", "draft"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      callBack("first", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      settled();
      advance(100);
      // Its connection is idle now: the next attempt is written in the turn in which it is decided.
      client.write(RawHttp.message(job("POST /api", "a", "draft"), ""));
      held.await();
      watch.write(chunk(list(2, "leaving") + "\n"));
      release.countDown();
      assertEquals(client.read().status(), 503);
      watch.write(chunk(list(3, "active") + "\n"));
      settled();
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "draft"), ""));
      assertEquals(worked.read().headers().get("Req-Id"), "b");
    }
  }

  private static void leave(Socket client, Leaving how) throws IOException {
    if (how == Leaving.SHUTS_ITS_SENDING_SIDE) {
      client.shutdownOutput();
      return;
    }
    if (how == Leaving.RESETS) {
      client.setSoLinger(true, 0);
    }
    client.close();
  }
}
