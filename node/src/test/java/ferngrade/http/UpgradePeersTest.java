package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import ferngrade.http.RawHttp.Message;
import ferngrade.http.UpgradePeers.RelayOutcome;
import ferngrade.node.MemoryBudget;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.transport.FaultInjectingChannels;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests calls to another process of the node, which the test simulates, with a simulated clock. */
@Test
public class UpgradePeersTest {
  private static final String ACCEPTED = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String UNKNOWN = RawHttp.message("HTTP/1.1 404 Not Found", "");
  private static final String ACCEPTED_AND_CLOSED =
      "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";

  private BlockingQueue<String> outcomes;
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private volatile double now;
  private ServerSocket peer;
  private Timers timers;
  private UpgradePeers peers;

  @BeforeMethod
  public void start() throws Exception {
    outcomes = new LinkedBlockingQueue<>();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    now = 0;
    peer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    peer.setSoTimeout(10_000);
    loop.submit(
            () -> {
              timers = new Timers(() -> now, (millis, run) -> {});
              RateLimitedLog log = new RateLimitedLog(() -> now, line -> {});
              peers =
                  new UpgradePeers(
                      group, timers, log, new FaultInjectingChannels(), MemoryBudget.unlimited());
              peers.addAnnounced(new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort()));
            })
        .get();
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    peer.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  @Test
  public void sendsSequentialCallsOnOneConnection() throws Exception {
    RawHttp connection = keptConnection();
    for (String body : List.of("b", "c")) {
      relay(body);
      assertEquals(readKeepAliveCall(connection), body);
      connection.write(UNKNOWN);
      assertEquals(nextOutcome(), body + " UNKNOWN");
    }
  }

  /** Answers are matched to the calls by their order, before and after the first answer. */
  @Test
  public void pipelinesQueuedCallsAfterTheFirstAnswer() throws Exception {
    relay("a", "b", "c");
    RawHttp connection = accept();
    assertEquals(readKeepAliveCall(connection), "a");
    connection.write(UNKNOWN);
    assertEquals(nextOutcome(), "a UNKNOWN");
    assertEquals(readKeepAliveCall(connection), "b");
    assertEquals(readKeepAliveCall(connection), "c");
    connection.write(ACCEPTED + UNKNOWN);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(nextOutcome(), "c UNKNOWN");
  }

  @Test
  public void opensParallelConnectionsToAPeerThatClosesAfterEachAnswer() throws Exception {
    relay("a", "b", "c");
    RawHttp first = accept();
    assertEquals(readKeepAliveCall(first), "a");
    first.write(ACCEPTED_AND_CLOSED);
    assertEquals(nextOutcome(), "a TAKEN");
    assertNull(first.read());
    for (RawHttp connection : List.of(accept(), accept())) {
      Message call = connection.read();
      assertEquals(call.headers().get("Connection"), "close");
      connection.write(ACCEPTED_AND_CLOSED);
      assertEquals(nextOutcome(), call.body() + " TAKEN");
      assertNull(connection.read());
    }
  }

  @Test
  public void retriesUnansweredCallsOnceWhenAKeptConnectionEnds() throws Exception {
    RawHttp first = keptConnection();
    relay("b", "c");
    assertEquals(readKeepAliveCall(first), "b");
    assertEquals(readKeepAliveCall(first), "c");
    first.close();
    RawHttp second = accept();
    assertEquals(readKeepAliveCall(second), "b");
    second.write(ACCEPTED);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(readKeepAliveCall(second), "c");
    relay("d");
    assertEquals(readKeepAliveCall(second), "d");
    second.close();
    assertEquals(nextOutcome(), "c UNANSWERED", "its second connection failure");
    assertEquals(readKeepAliveCall(accept()), "d");
  }

  /**
   * Guards against losing calls when the peer's process ends and the answer to an earlier call
   * closes the connection.
   */
  @Test
  public void retriesCallsOnceAfterAnAnswerThatClosesAKeptConnection() throws Exception {
    RawHttp first = keptConnection();
    relay("b", "c");
    first.read();
    first.read();
    first.write(ACCEPTED_AND_CLOSED);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(readKeepAliveCall(accept()), "c");
  }

  @Test
  public void removesAPeerThatHasEndedAndLeavesItsCallsUnanswered() throws Exception {
    RawHttp first = keptConnection();
    relay("b");
    first.read();
    peer.close();
    first.close();
    assertEquals(nextOutcome(), "b UNANSWERED");
    relay("c");
    assertEquals(nextOutcome(), "c UNANSWERED", "ends at once, since no peer is known");
  }

  /** A late answer must not be taken for the answer to the next call. */
  @Test
  public void keepsTheOrderOfAnswersAfterACallTimedOut() throws Exception {
    RawHttp connection = keptConnection();
    relay("b");
    assertEquals(readKeepAliveCall(connection), "b");
    advanceTo(500);
    assertEquals(nextOutcome(), "b UNANSWERED");
    relay("c");
    assertEquals(readKeepAliveCall(connection), "c");
    connection.write(ACCEPTED + UNKNOWN);
    assertEquals(nextOutcome(), "c UNKNOWN");
  }

  @Test
  public void doesNotWriteAQueuedCallThatTimedOut() throws Exception {
    relay("a");
    advanceTo(400);
    relay("b");
    RawHttp connection = accept();
    assertEquals(readKeepAliveCall(connection), "a");
    advanceTo(499);
    relay("c");
    advanceTo(900);
    assertEquals(nextOutcome(), "a UNANSWERED");
    assertEquals(nextOutcome(), "b UNANSWERED");
    connection.write(ACCEPTED);
    assertEquals(readKeepAliveCall(connection), "c");
  }

  /** Guards against holding an unlimited number of calls for a peer that has stopped answering. */
  @Test
  public void endsCallsBeyondTheLimitsAtOnceWithoutAnAnswer() throws Exception {
    String large = "x".repeat(UpgradePeer.MAX_BYTES - 1);
    relay(large, "b", "c");
    assertEquals(nextOutcome(), "c UNANSWERED");
    RawHttp connection = accept();
    assertEquals(readKeepAliveCall(connection), large);
    connection.write(ACCEPTED);
    assertEquals(nextOutcome(), large + " TAKEN");
    assertEquals(readKeepAliveCall(connection), "b");
    relay(new String[UpgradePeer.MAX_CALLS]);
    assertEquals(nextOutcome(), "null UNANSWERED");
    assertEquals(outcomes.size(), 0, "only one call exceeds the limit");
  }

  @Test
  public void closesTheConnectionWhenItsAddressIsRemoved() throws Exception {
    RawHttp connection = keptConnection();
    relay("b");
    assertEquals(readKeepAliveCall(connection), "b");
    InetSocketAddress address = new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    loop.submit(() -> peers.setOwnAddress(address)).get();
    assertEquals(nextOutcome(), "b UNANSWERED");
    assertNull(connection.read());
    assertEquals(loop.submit(peers::relayed).get().get(RelayOutcome.UNANSWERED).longValue(), 1L);
  }

  /** Guards against dropping a callback for a job of a process that has just started. */
  @Test(timeOut = 30_000)
  public void relaysACallbackToAProcessNewlyRecordedInTheLog() throws Exception {
    try (ServerSocket started = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      started.setSoTimeout(10_000);
      InetSocketAddress address =
          new InetSocketAddress(started.getInetAddress(), started.getLocalPort());
      loop.submit(() -> peers.setRunningProcesses(logNaming(address))).get();
      relay("a");
      accept().write(UNKNOWN);
      assertEquals(
          outcomes.poll(1, TimeUnit.SECONDS), null, "the new process has not answered yet");
      new RawHttp(started.accept()).write(ACCEPTED);
      assertEquals(nextOutcome(), "a TAKEN");
    }
  }

  private UpgradePeers.RunningProcesses logNaming(InetSocketAddress address) {
    return new UpgradePeers.RunningProcesses() {
      @Override
      public void refresh() {
        peers.addRecorded(address);
      }

      @Override
      public boolean othersMayRun() {
        return true;
      }
    };
  }

  /** Returns a connection that the peer keeps open after one answered call. */
  private RawHttp keptConnection() throws Exception {
    relay("a");
    RawHttp connection = accept();
    assertEquals(readKeepAliveCall(connection), "a");
    connection.write(ACCEPTED);
    assertEquals(nextOutcome(), "a TAKEN");
    return connection;
  }

  private RawHttp accept() throws Exception {
    return new RawHttp(peer.accept());
  }

  private static String readKeepAliveCall(RawHttp connection) throws Exception {
    Message call = connection.read();
    assertEquals(call.startLine(), "POST /-/news HTTP/1.1");
    assertEquals(call.headers().get("Connection"), "keep-alive");
    return call.body();
  }

  /** Returns the next outcome of a relay, or null if there is none within 10 s. */
  private String nextOutcome() throws InterruptedException {
    return outcomes.poll(10, TimeUnit.SECONDS);
  }

  /** Relays these callbacks in one turn of the event loop. */
  private void relay(String... callbacks) throws Exception {
    loop.submit(
            () -> {
              for (String callback : callbacks) {
                peers.relay(
                    String.valueOf(callback), outcome -> outcomes.add(callback + " " + outcome));
              }
            })
        .get();
  }

  private void advanceTo(double millis) throws Exception {
    now = millis;
    loop.submit(timers::run).get();
  }
}
