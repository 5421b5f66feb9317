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
 * Guards against attempts for a client that has disconnected, or to a worker that has begun to
 * drain, while the event loop was blocked between an event and the attempt it triggers. The loop
 * must read pending input before it starts the attempt. The test scripts the dispatcher.
 */
@Test(timeOut = 30_000)
public class DisconnectedClientTest extends NodeIntegrationFixture {
  private static final String DECLINED =
      "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /**
   * The number of requests in a flood. The flood exceeds both the queue of a connection and the
   * number of further bytes that the node reads and drops before it stops reading.
   */
  private static final int FLOOD_REQUESTS = 14_000;

  /** The event that triggers the attempt and during which the event loop is blocked. */
  private enum Cause {
    REQUEST,
    DECLINED_ATTEMPT,
    HEDGE_DELAY
  }

  private enum Disconnect {
    CLOSES,
    RESETS,
    SHUTS_DOWN_OUTPUT
  }

  private final List<Long> workers = new ArrayList<>();
  private Cause cause;
  private CountDownLatch blockReached;
  private CountDownLatch blockReleased;

  @Override
  NodeServer startServer(NodeConfig config, Clock clock, RateLimitedLog log) throws Exception {
    return NodeServer.start(
        config, clock, log, (nodeConfig, startTime, actions) -> scriptedDispatcher(actions));
  }

  /**
   * Sends each request to the first worker, and "a" a second time if {@link #cause} requires it.
   */
  private Dispatcher scriptedDispatcher(Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) -> {
              switch (method.getName()) {
                case "endpointsUpdated" -> {
                  workers.clear();
                  ((List<?>) arguments[2]).forEach(entry -> workers.add(((Worker) entry).id()));
                }
                case "requestArrived" -> sendRequest(((Job) arguments[1]).id(), actions);
                case "attemptEnded" -> {
                  if (arguments[3] == AttemptOutcome.NEVER_SENT) {
                    actions.reject((String) arguments[1], 0);
                  }
                  if (cause == Cause.DECLINED_ATTEMPT && arguments[3] == AttemptOutcome.FULL) {
                    blockLoop();
                    actions.send("a", workers.get(0), 0);
                  }
                }
                case "timerExpired" -> {
                  blockLoop();
                  actions.send("a", workers.get(1), 0);
                }
                default -> {}
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  private void sendRequest(String id, Actions actions) throws InterruptedException {
    boolean hedged = cause == Cause.HEDGE_DELAY;
    if (id.equals("a") && cause == Cause.REQUEST) {
      blockLoop();
    }
    actions.send(id, workers.get(hedged && id.equals("b") ? 1 : 0), 0);
    if (id.equals("a") && hedged) {
      actions.scheduleTimer(100, 1);
    }
  }

  private void blockLoop() throws InterruptedException {
    blockReached.countDown();
    blockReleased.await();
  }

  @DataProvider
  public Object[][] departures() {
    List<Object[]> departures = new ArrayList<>();
    for (Cause cause : Cause.values()) {
      for (Disconnect disconnect : Disconnect.values()) {
        departures.add(new Object[] {cause, disconnect, 0});
      }
    }
    departures.add(new Object[] {Cause.DECLINED_ATTEMPT, Disconnect.CLOSES, 1});
    departures.add(new Object[] {Cause.DECLINED_ATTEMPT, Disconnect.CLOSES, FLOOD_REQUESTS});
    return departures.toArray(Object[][]::new);
  }

  @Test(dataProvider = "departures")
  public void startsNoAttemptForClientThatDisconnectsWhileTheLoopIsBlocked(
      Cause trigger, Disconnect disconnect, int pipelined) throws Exception {
    cause = trigger;
    blockReached = new CountDownLatch(1);
    blockReleased = new CountDownLatch(1);
    try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(10_000);
      start(
          endpointList(1, "active")
              .replace(
                  "{\"id\":\"s-2\",\"host_port\":7,",
                  "{\"id\":\"s-2\",\"host_port\":\"127.0.0.1:"
                      + other.getLocalPort()
                      + "\",\"locality\":\"z\",\"flavor\":\"k\","),
          () -> now);
      Socket departing = new Socket(node.address().getAddress(), node.address().getPort());
      new RawHttp(departing)
          .write(RawHttp.message(jobHead("POST /api", "a", "draft"), "") + READY.repeat(pipelined));
      if (trigger != Cause.REQUEST) {
        RawHttp workerConnection = new RawHttp(worker.accept());
        assertEquals(workerConnection.read().headers().get("Req-Id"), "a");
        awaitSettled();
        advance(100);
        workerConnection.write(trigger == Cause.DECLINED_ATTEMPT ? DECLINED : "");
      }
      blockReached.await();
      disconnect(departing, disconnect);
      blockReleased.countDown();
      awaitSettled();
      advance(100);
      try (RawHttp client = RawHttp.connect(node.address())) {
        client.write(RawHttp.message(jobHead("POST /api", "b", "draft"), ""));
        // The connection opened for the abandoned attempt is reused, since nothing was written to
        // it.
        RawHttp reused = new RawHttp((trigger == Cause.HEDGE_DELAY ? other : worker).accept());
        assertEquals(reused.read().headers().get("Req-Id"), "b");
      }
    }
  }

  /**
   * Guards against an attempt to a worker that discovery reported as draining while the event loop
   * was blocked.
   */
  @Test
  public void startsNoAttemptAtWorkerThatDrainsWhileTheLoopIsBlocked() throws Exception {
    cause = Cause.REQUEST;
    blockReached = new CountDownLatch(1);
    blockReleased = new CountDownLatch(1);
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "first", "draft"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      sendCallback("first", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      awaitSettled();
      advance(100);
      // The worker's connection is idle, so the next attempt is written in the turn in which the
      // dispatcher requests it.
      client.write(RawHttp.message(jobHead("POST /api", "a", "draft"), ""));
      blockReached.await();
      watch.write(chunk(endpointList(2, "leaving") + "\n"));
      blockReleased.countDown();
      assertEquals(client.read().status(), 503);
      watch.write(chunk(endpointList(3, "active") + "\n"));
      awaitSettled();
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "draft"), ""));
      assertEquals(workerConnection.read().headers().get("Req-Id"), "b");
    }
  }

  private static void disconnect(Socket client, Disconnect disconnect) throws IOException {
    if (disconnect == Disconnect.SHUTS_DOWN_OUTPUT) {
      client.shutdownOutput();
      return;
    }
    if (disconnect == Disconnect.RESETS) {
      client.setSoLinger(true, 0);
    }
    client.close();
  }
}
