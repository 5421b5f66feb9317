package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import ferngrade.http.RawHttp.Message;
import ferngrade.http.UpgradePeers.RelayOutcome;
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

/** Calls to another process of the node, played by the test, on a clock that the test sets. */
@Test
public class UpgradePeersTest {
  private static final String TAKEN = "HTTP/1.1 204 No Content\r\n\r\n";
  private static final String UNKNOWN = RawHttp.message("HTTP/1.1 404 Not Found", "");
  private static final String TAKEN_AND_CLOSED =
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
              peers = new UpgradePeers(group, timers, log, new FaultInjectingChannels());
              peers.at(new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort()));
            })
        .get();
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    peer.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  @Test
  public void callsInSequenceShareOneConnection() throws Exception {
    RawHttp connection = keptConnection();
    for (String each : List.of("b", "c")) {
      relay(each);
      assertEquals(bodyOfKept(connection), each);
      connection.write(UNKNOWN);
      assertEquals(nextOutcome(), each + " UNKNOWN");
    }
  }

  /** Answers are matched to the calls by their order, before and after the first answer. */
  @Test
  public void callsThatWaitedForTheFirstAnswerArePipelined() throws Exception {
    relay("a", "b", "c");
    RawHttp connection = accept();
    assertEquals(bodyOfKept(connection), "a");
    connection.write(UNKNOWN);
    assertEquals(nextOutcome(), "a UNKNOWN");
    assertEquals(bodyOfKept(connection), "b");
    assertEquals(bodyOfKept(connection), "c");
    connection.write(TAKEN + UNKNOWN);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(nextOutcome(), "c UNKNOWN");
  }

  @Test
  public void peerThatClosesBehindItsAnswerGetsOneConnectionPerCallInParallel() throws Exception {
    relay("a", "b", "c");
    RawHttp first = accept();
    assertEquals(bodyOfKept(first), "a");
    first.write(TAKEN_AND_CLOSED);
    assertEquals(nextOutcome(), "a TAKEN");
    assertNull(first.read());
    for (RawHttp each : List.of(accept(), accept())) {
      Message call = each.read();
      assertEquals(call.headers().get("Connection"), "close");
      each.write(TAKEN_AND_CLOSED);
      assertEquals(nextOutcome(), call.body() + " TAKEN");
      assertNull(each.read());
    }
  }

  @Test
  public void callsUnansweredAtTheEndOfAKeptConnectionAreMadeOnceMore() throws Exception {
    RawHttp first = keptConnection();
    relay("b", "c");
    assertEquals(bodyOfKept(first), "b");
    assertEquals(bodyOfKept(first), "c");
    first.close();
    RawHttp second = accept();
    assertEquals(bodyOfKept(second), "b");
    second.write(TAKEN);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(bodyOfKept(second), "c");
    relay("d");
    assertEquals(bodyOfKept(second), "d");
    second.close();
    assertEquals(nextOutcome(), "c UNANSWERED", "its second break");
    assertEquals(bodyOfKept(accept()), "d");
  }

  /** The end of the peer's process: its answer closes the connection under the calls behind it. */
  @Test
  public void callsBehindAnAnswerThatClosesAKeptConnectionAreMadeOnceMore() throws Exception {
    RawHttp first = keptConnection();
    relay("b", "c");
    first.read();
    first.read();
    first.write(TAKEN_AND_CLOSED);
    assertEquals(nextOutcome(), "b TAKEN");
    assertEquals(bodyOfKept(accept()), "c");
  }

  @Test
  public void callUnansweredWhereThePeerHasEndedIsUnansweredAndItsAddressForgotten()
      throws Exception {
    RawHttp first = keptConnection();
    relay("b");
    first.read();
    peer.close();
    first.close();
    assertEquals(nextOutcome(), "b UNANSWERED");
    relay("c");
    assertEquals(nextOutcome(), "c UNANSWERED", "at once: nobody is known");
  }

  /** The answer that comes late must not be taken for that of the next call. */
  @Test
  public void callThatTimedOutKeepsItsPlaceInTheOrderOfAnswers() throws Exception {
    RawHttp connection = keptConnection();
    relay("b");
    assertEquals(bodyOfKept(connection), "b");
    passTime(500);
    assertEquals(nextOutcome(), "b UNANSWERED");
    relay("c");
    assertEquals(bodyOfKept(connection), "c");
    connection.write(TAKEN + UNKNOWN);
    assertEquals(nextOutcome(), "c UNKNOWN");
  }

  @Test
  public void callThatTimesOutBehindTheFirstIsNotWritten() throws Exception {
    relay("a");
    passTime(400);
    relay("b");
    RawHttp connection = accept();
    assertEquals(bodyOfKept(connection), "a");
    passTime(499);
    relay("c");
    passTime(900);
    assertEquals(nextOutcome(), "a UNANSWERED");
    assertEquals(nextOutcome(), "b UNANSWERED");
    connection.write(TAKEN);
    assertEquals(bodyOfKept(connection), "c");
  }

  /** A stopped peer must not make this process hold ever more calls. */
  @Test
  public void callsBeyondTheBoundEndWithoutAnAnswerAtOnce() throws Exception {
    String large = "x".repeat(UpgradePeer.MAX_BYTES - 1);
    relay(large, "b", "c");
    assertEquals(nextOutcome(), "c UNANSWERED");
    RawHttp connection = accept();
    assertEquals(bodyOfKept(connection), large);
    connection.write(TAKEN);
    assertEquals(nextOutcome(), large + " TAKEN");
    assertEquals(bodyOfKept(connection), "b");
    relay(new String[UpgradePeer.MAX_CALLS]);
    assertEquals(nextOutcome(), "null UNANSWERED");
    assertEquals(outcomes.size(), 0, "one call more than the bound");
  }

  @Test
  public void connectionClosesWhenItsAddressIsForgotten() throws Exception {
    RawHttp connection = keptConnection();
    relay("b");
    assertEquals(bodyOfKept(connection), "b");
    InetSocketAddress address = new InetSocketAddress(peer.getInetAddress(), peer.getLocalPort());
    loop.submit(() -> peers.own(address)).get();
    assertEquals(nextOutcome(), "b UNANSWERED");
    assertNull(connection.read());
    assertEquals(loop.submit(peers::relayed).get().get(RelayOutcome.UNANSWERED).longValue(), 1L);
  }

  /** Fails where a callback for a job of a process that has just started is dropped. */
  @Test(timeOut = 30_000)
  public void callbackThatTheKnownProcessNeverHadIsRelayedToOneThatTheLogNamesSince()
      throws Exception {
    try (ServerSocket started = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      started.setSoTimeout(10_000);
      InetSocketAddress address =
          new InetSocketAddress(started.getInetAddress(), started.getLocalPort());
      loop.submit(() -> peers.knownBy(logThatNames(address))).get();
      relay("a");
      accept().write(UNKNOWN);
      assertEquals(outcomes.poll(1, TimeUnit.SECONDS), null, "the other has not been asked");
      new RawHttp(started.accept()).write(TAKEN);
      assertEquals(nextOutcome(), "a TAKEN");
    }
  }

  private UpgradePeers.RunningProcesses logThatNames(InetSocketAddress address) {
    return new UpgradePeers.RunningProcesses() {
      @Override
      public void refresh() {
        peers.recorded(address);
      }

      @Override
      public boolean othersMayRun() {
        return true;
      }
    };
  }

  /** A connection that the peer keeps after one answered call. */
  private RawHttp keptConnection() throws Exception {
    relay("a");
    RawHttp connection = accept();
    assertEquals(bodyOfKept(connection), "a");
    connection.write(TAKEN);
    assertEquals(nextOutcome(), "a TAKEN");
    return connection;
  }

  private RawHttp accept() throws Exception {
    return new RawHttp(peer.accept());
  }

  private static String bodyOfKept(RawHttp connection) throws Exception {
    Message call = connection.read();
    assertEquals(call.start(), "POST /-/news HTTP/1.1");
    assertEquals(call.headers().get("Connection"), "keep-alive");
    return call.body();
  }

  /** The next outcome of a relay; null if none comes in 10 s. */
  private String nextOutcome() throws InterruptedException {
    return outcomes.poll(10, TimeUnit.SECONDS);
  }

  /** Relays these callbacks in one turn of the loop. */
  private void relay(String... callbacks) throws Exception {
    loop.submit(
            () -> {
              for (String each : callbacks) {
                peers.relay(String.valueOf(each), outcome -> outcomes.add(each + " " + outcome));
              }
            })
        .get();
  }

  private void passTime(double until) throws Exception {
    now = until;
    loop.submit(timers::run).get();
  }
}
