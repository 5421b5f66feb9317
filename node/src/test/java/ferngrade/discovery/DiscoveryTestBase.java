package ferngrade.discovery;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.EndpointListParser;
import ferngrade.config.SettingsMapping;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.http.RawHttp;
import ferngrade.node.MemoryBudget;
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

/**
 * Base class of tests that run a {@link DiscoveryWatch} over a real connection. The test sets the
 * clock and acts as the discovery server.
 */
abstract class DiscoveryTestBase {
  static final String RESPONSE_HEADER = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** The first line of the request for the whole list. */
  static final String WHOLE_LIST_REQUEST = "GET /api/targets?watch=1 HTTP/1.1";

  private static final int ACCEPT_TIMEOUT_MILLIS = 10_000;

  volatile double now;
  MultiThreadIoEventLoopGroup group;
  EventLoop loop;
  Timers timers;
  ServerSocket discovery;
  RequestCoordinator node;
  final AtomicBoolean watchEnded = new AtomicBoolean();

  /** Advances the clock; called by the test thread and by the event loop. */
  final synchronized void advance(double millis) {
    now += millis;
  }

  @BeforeMethod
  public void listen() throws Exception {
    now = 0;
    watchEnded.set(false);
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    timers = new Timers(() -> now, (millis, run) -> {});
    discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    discovery.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
    node = loop.submit(this::start).get();
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    discovery.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  /** Returns the mode of the watch. */
  DiscoveryWatch.Mode mode() {
    return DiscoveryWatch.Mode.PUSHED;
  }

  private RequestCoordinator start() {
    SettingsMapping settings = new SettingsMapping();
    settings.put(Json.parse("{\"Classes\":[{\"Name\":\"order\"}]}").asObject());
    RateLimitedLog log =
        new RateLimitedLog(
            () -> now, line -> watchEnded.compareAndSet(false, line.contains("watch ended")));
    RequestCoordinator started =
        new RequestCoordinator(
            new RequestCoordinator.Dependencies(
                () -> now, timers, loop, null, (peer, message) -> {}, log),
            new RequestCoordinator.RequestLimits(1, MemoryBudget.unlimited(), 0),
            actions -> new ThrottlingDispatcher(settings.build(), 7, now, actions));
    InetSocketAddress address =
        new InetSocketAddress(discovery.getInetAddress(), discovery.getLocalPort());
    new DiscoveryWatch(
            group,
            address,
            new EndpointListParser(List.of(), List.of()),
            started,
            timers,
            log,
            mode(),
            () -> {},
            ChannelProvider.SOCKETS)
        .start();
    return started;
  }

  /** Spins once; throws if the test's timeout has interrupted the thread. */
  private static void spinOnce() throws InterruptedException {
    if (Thread.interrupted()) {
      throw new InterruptedException("the test has timed out");
    }
    Thread.onSpinWait();
  }

  static String chunk(String lines) {
    return Integer.toHexString(lines.length()) + "\r\n" + lines + "\r\n";
  }

  static String list(long revision, boolean whole, String id, String phase) {
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

  void awaitReady(boolean ready) throws Exception {
    while (loop.submit(node::ready).get() != ready) {
      spinOnce();
    }
  }

  /**
   * Waits until the node has noticed the end of its watch, then advances the clock by {@code
   * millis} in steps of 100 ms and runs the timers. The retry timer starts at the end of the watch,
   * so advancing the clock earlier would not bring the retry closer.
   */
  void advanceAfterWatchEnds(double millis) throws Exception {
    while (!watchEnded.compareAndSet(true, false)) {
      spinOnce();
    }
    double end = now + millis;
    while (loop.submit(
                () -> {
                  advance(100);
                  timers.run();
                  return now;
                })
            .get()
        < end) {
      spinOnce();
    }
  }

  /** Advances the clock by {@code millis} in one step and runs the timers. */
  void advanceAndRunTimers(double millis) throws Exception {
    loop.submit(
            () -> {
              advance(millis);
              timers.run();
            })
        .get();
  }

  RawHttp accept(String request) throws Exception {
    RawHttp watch = new RawHttp(discovery.accept());
    assertEquals(watch.read().startLine(), request);
    return watch;
  }
}
