package ferngrade.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.eclipsesource.json.Json;
import ferngrade.config.EndpointListParser;
import ferngrade.config.SettingsMapping;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.http.RawHttp;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A watch of the worker list, on a clock that the story sets. */
public class DiscoveryWatchTest {
  private volatile double now;
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private Timers timers;
  private ServerSocket discovery;
  private RequestCoordinator node;

  @BeforeMethod
  public void listen() throws Exception {
    now = 0;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    timers = new Timers(() -> now, (millis, run) -> {});
    discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    node =
        loop.submit(
                () ->
                    start(
                        group,
                        loop,
                        timers,
                        new InetSocketAddress(
                            discovery.getInetAddress(), discovery.getLocalPort())))
            .get();
  }

  /** Lets time pass on the clock; the test and the loop may both do so. */
  private synchronized void advance(double millis) {
    now += millis;
  }

  @AfterMethod
  public void end() throws Exception {
    discovery.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  private static String chunk(String lines) {
    return Integer.toHexString(lines.length()) + "\r\n" + lines + "\r\n";
  }

  private static String list(long revision, boolean whole, String id, String phase) {
    return chunk(
        "{\"revision\":"
            + revision
            + ",\"complete\":"
            + whole
            + ",\"members\":[{\"id\":\""
            + id
            + "\",\"host_port\":\"127.0.0.1:9\",\"phase\":\""
            + phase
            + "\"}]}\n");
  }

  private final AtomicBoolean ended = new AtomicBoolean();

  private void awaitReady(boolean ready) throws Exception {
    while (loop.submit(node::ready).get() != ready) {
      Thread.onSpinWait();
    }
  }

  /**
   * Lets this many ms pass once the node has seen the end of its watch, which is when the next try
   * is set: time that had passed before would bring that no nearer.
   */
  private void passAfterEnd(double millis) throws Exception {
    while (!ended.compareAndSet(true, false)) {
      Thread.onSpinWait();
    }
    double until = now + millis;
    while (loop.submit(
                () -> {
                  advance(100);
                  timers.run();
                  return now;
                })
            .get()
        < until) {
      Thread.onSpinWait();
    }
  }

  private RawHttp accept(String request) throws Exception {
    RawHttp watch = new RawHttp(discovery.accept());
    assertEquals(watch.read().start(), request);
    return watch;
  }

  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String WHOLE = "GET /api/targets?watch=1 HTTP/1.1";

  @Test(timeOut = 30_000)
  public void watchThatMissesOneSignOfLifeIsOpenedAnewAndTellsWhoDiedAndWhoStartedMeanwhile()
      throws Exception {
    try (RawHttp first = accept(WHOLE)) {
      first.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_600;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    passAfterEnd(900);
    try (RawHttp again = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(loop.submit(node::ready).get(), "the last list stays");
      again.write(HEAD + list(43, false, "s-1", "left"));
      awaitReady(false);
      again.write(list(44, false, "s-2", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 30_000)
  public void watchThatEndsIn503IsAskedForAgainAndTheLastListStays() throws Exception {
    try (RawHttp refused = accept(WHOLE)) {
      refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(refused.read());
    }
    passAfterEnd(900);
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
    passAfterEnd(900);
    try (RawHttp refused = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(refused.read());
    }
    assertTrue(loop.submit(node::ready).get(), "the last list stays");
  }

  @Test(timeOut = 30_000)
  public void discoverySilentFromBeforeTheStartIsAskedAgainAfterASecond() throws Exception {
    try (RawHttp silent = accept(WHOLE)) {
      loop.submit(() -> node.members(EndpointListUpdate.STORED, List.of())).get();
      now = 1_100;
      loop.submit(timers::run).get();
      assertNull(silent.read());
    }
    passAfterEnd(900);
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(7, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 30_000)
  public void listIndentedOverLinesAndSentByTheByteIsTheSameList() throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD);
      String list =
          "{\n"
              + "  \"revision\": 41,\n"
              + "  \"complete\": true,\n"
              + "  \"members\": [\n"
              + "    {\"id\": \"s-{\\\"[\",\n"
              + "     \"host_port\": \"127.0.0.1:9\", \"phase\": \"active\"}\n"
              + "  ]\n"
              + "}\n\n";
      for (int i = 0; i < list.length(); i++) {
        watch.write(chunk(list.substring(i, i + 1)));
      }
      awaitReady(true);
      watch.write(list(42, false, "s-{\\\"[", "left"));
      awaitReady(false);
    }
  }

  @Test(timeOut = 30_000)
  public void olderListAfterANewerOneDoesNotBringBackWhoHasLeftUntilTheWholeListSaysSo()
      throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(list(43, false, "s-1", "left"));
      awaitReady(false);
      watch.write(list(42, true, "s-1", "active"));
      assertNull(watch.read());
    }
    assertFalse(loop.submit(node::ready).get());
    passAfterEnd(900);
    try (RawHttp again = accept(WHOLE)) {
      again.write(HEAD + list(7, true, "s-2", "active"));
      awaitReady(true);
    }
    passAfterEnd(900);
    accept("GET /api/targets?watch=1&from=7 HTTP/1.1").close();
  }

  @Test(timeOut = 30_000)
  public void bodyOfARefusalAndWhatComesBehindTheEndOfAnAnswerAreNoLists() throws Exception {
    try (RawHttp refused = accept(WHOLE)) {
      refused.write(
          "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
              + list(41, true, "s-1", "active"));
      assertNull(refused.read());
    }
    assertFalse(loop.submit(node::ready).get());
    passAfterEnd(900);
    try (RawHttp ended = accept(WHOLE)) {
      ended.write(HEAD + "0\r\n\r\n" + HEAD + list(41, true, "s-1", "active"));
      assertNull(ended.read());
    }
    assertFalse(loop.submit(node::ready).get());
  }

  @Test(timeOut = 30_000)
  public void wholeListThatLeavesAMemberOutHasItGoneAtOnce() throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(chunk("{\"revision\":42,\"complete\":true,\"members\":[]}\n"));
      awaitReady(false);
    }
  }

  /**
   * What an agent gets when discovery is back counts as told then: the pauses stay well under the
   * drain rule's 250 ms.
   */
  @Test(timeOut = 30_000)
  public void agentThatStaysSilentIsAskedAgainAfterNoLongerThanATenthOfASecond() throws Exception {
    for (int i = 0; i < 5; i++) {
      try (RawHttp silent = accept(WHOLE)) {
        advance(1_000);
        loop.submit(timers::run).get();
        assertNull(silent.read());
      }
      passAfterEnd(100);
    }
  }

  /**
   * From the last sign of life on, with a dial that hangs and an answer that does not begin in
   * between.
   */
  @Test(timeOut = 30_000)
  public void changeThatASilentWatchMissesIsHeardWithinSixSecondsOfTheSilence() throws Exception {
    try (RawHttp first = accept(WHOLE)) {
      first.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_500;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    double began = now;
    passAfterEnd(100);
    // The dial's own limit runs on the machine's clock, a second; the rest on the story's.
    try (RawHttp mute = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      double until = now + 1_000;
      while (loop.submit(
                  () -> {
                    now = Math.min(until, now + 50);
                    timers.run();
                    return now;
                  })
              .get()
          < until) {
        Thread.onSpinWait();
      }
      assertNull(mute.read());
    }
    passAfterEnd(100);
    try (RawHttp again = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(
          now - began + 2_500 + 1_000 + 400 <= 6_000,
          "with a dial of a second and its pause: " + now);
      again.write(HEAD + list(43, false, "s-1", "left"));
      awaitReady(false);
    }
  }

  private RequestCoordinator start(
      MultiThreadIoEventLoopGroup group,
      EventLoop loop,
      Timers timers,
      InetSocketAddress discovery) {
    SettingsMapping settings = new SettingsMapping();
    settings.put(Json.parse("{\"Classes\":[{\"Name\":\"order\"}]}").asObject());
    ended.set(false);
    RateLimitedLog log =
        new RateLimitedLog(
            () -> now, line -> ended.compareAndSet(false, line.contains("watch ended")));
    RequestCoordinator node =
        new RequestCoordinator(
            new RequestCoordinator.Surroundings(
                () -> now, timers, loop, null, (peer, message) -> {}, log),
            new RequestCoordinator.RequestLimits(1, 1, 0),
            actions -> new ThrottlingDispatcher(settings.build(), 7, now, actions));
    new DiscoveryWatch(
            group,
            discovery,
            new EndpointListParser(List.of(), List.of()),
            node,
            timers,
            log,
            DiscoveryWatch.MAX_PUSH_BACKOFF,
            () -> {},
            ChannelProvider.SOCKETS)
        .start();
    return node;
  }
}
