package ferngrade.faulttest;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A discovery service. Each watch first receives the complete endpoint list, and then an update
 * every {@link #UPDATE_INTERVAL_MILLIS}.
 */
final class DiscoveryServiceStub {
  private static final long UPDATE_INTERVAL_MILLIS = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger open = new AtomicInteger();
  private final long origin = System.nanoTime();
  private final History history;
  private final HttpServer server;

  DiscoveryServiceStub(History history) throws IOException {
    this.history = history;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(threads);
    server.createContext("/api/targets", this::watch);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Returns the current revision of the list. */
  long revision() {
    return 1 + (System.nanoTime() - origin) / 1_000_000 / UPDATE_INTERVAL_MILLIS;
  }

  /** Returns the number of open watches. */
  int open() {
    return open.get();
  }

  private static String line(long revision, boolean complete) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":[{\"id\":\"s-"
        + revision % 3
        + "\",\"host_port\":\"127.0.0.1:9\",\"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}]}\n";
  }

  private void watch(HttpExchange exchange) {
    history.add("list", "asked", Map.of("open", Integer.toString(open.incrementAndGet())));
    try (exchange) {
      exchange.sendResponseHeaders(200, 0);
      OutputStream out = exchange.getResponseBody();
      long sentRevision = 0;
      while (true) {
        long current = revision();
        if (current > sentRevision) {
          out.write(line(current, sentRevision == 0).getBytes(StandardCharsets.UTF_8));
          out.flush();
          sentRevision = current;
        }
        Thread.sleep(UPDATE_INTERVAL_MILLIS / 4);
      }
    } catch (IOException disconnected) {
      // The client has closed the watch.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      history.add("list", "dropped", Map.of("open", Integer.toString(open.decrementAndGet())));
    }
  }

  void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
