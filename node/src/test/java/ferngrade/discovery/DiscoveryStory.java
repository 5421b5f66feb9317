package ferngrade.discovery;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.EndpointListParser;
import ferngrade.config.SettingsMapping;
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

/**
 * A watch of the worker list over a real connection, on a clock that the test sets; the test speaks
 * for discovery.
 */
abstract class DiscoveryStory {
  static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  /** The call for the whole list. */
  static final String WHOLE = "GET /api/targets?watch=1 HTTP/1.1";

  private static final int ACCEPT_TIMEOUT = 10_000;

  volatile double now;
  MultiThreadIoEventLoopGroup group;
  EventLoop loop;
  Timers timers;
  ServerSocket discovery;
  RequestCoordinator node;
  final AtomicBoolean ended = new AtomicBoolean();

  /** Lets time pass on the clock; the test and the loop may both do so. */
  final synchronized void advance(double millis) {
    now += millis;
  }

  @BeforeMethod
  public void listen() throws Exception {
    now = 0;
    ended.set(false);
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    timers = new Timers(() -> now, (millis, run) -> {});
    discovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
    discovery.setSoTimeout(ACCEPT_TIMEOUT);
    node = loop.submit(this::start).get();
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    discovery.close();
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  /** How discovery is watched. */
  DiscoveryWatch.Mode mode() {
    return DiscoveryWatch.Mode.PUSHED;
  }

  private RequestCoordinator start() {
    SettingsMapping settings = new SettingsMapping();
    settings.put(Json.parse("{\"Classes\":[{\"Name\":\"order\"}]}").asObject());
    RateLimitedLog log =
        new RateLimitedLog(
            () -> now, line -> ended.compareAndSet(false, line.contains("watch ended")));
    RequestCoordinator started =
        new RequestCoordinator(
            new RequestCoordinator.Surroundings(
                () -> now, timers, loop, null, (peer, message) -> {}, log),
            new RequestCoordinator.RequestLimits(1, 1, 0),
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

  /** Waits for a moment, and ends with the time of the test. */
  private static void spin() throws InterruptedException {
    if (Thread.interrupted()) {
      throw new InterruptedException("the test has run out of time");
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
      spin();
    }
  }

  /**
   * Lets this many ms pass once the node has seen the end of its watch, which is when the next try
   * is set: time that had passed before would bring that no nearer.
   */
  void passAfterEnd(double millis) throws Exception {
    while (!ended.compareAndSet(true, false)) {
      spin();
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
      spin();
    }
  }

  /** Time goes on by this much at once. */
  void pass(double millis) throws Exception {
    loop.submit(
            () -> {
              advance(millis);
              timers.run();
            })
        .get();
  }

  RawHttp accept(String request) throws Exception {
    RawHttp watch = new RawHttp(discovery.accept());
    assertEquals(watch.read().start(), request);
    return watch;
  }
}
