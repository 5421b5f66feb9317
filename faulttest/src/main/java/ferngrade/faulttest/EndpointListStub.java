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
 * Stands for the service that tells the worker list: a watch gets the whole, and a change each so
 * many ms.
 */
final class EndpointListStub {
  private static final long EVERY_MS = 200;

  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final AtomicInteger open = new AtomicInteger();
  private final long origin = System.nanoTime();
  private final History history;
  private final HttpServer server;

  EndpointListStub(History history) throws IOException {
    this.history = history;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(threads);
    server.createContext("/api/targets", this::watch);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** The revision now. */
  long revision() {
    return 1 + (System.nanoTime() - origin) / 1_000_000 / EVERY_MS;
  }

  /** How many watch it now. */
  int open() {
    return open.get();
  }

  private static String line(long revision, boolean whole) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + whole
        + ",\"members\":[{\"id\":\"s-"
        + revision % 3
        + "\",\"host_port\":\"127.0.0.1:9\",\"phase\":\"active\",\"size\":1.0,\"up_since_ms\":0}]}\n";
  }

  private void watch(HttpExchange exchange) {
    history.add("list", "asked", Map.of("open", Integer.toString(open.incrementAndGet())));
    try (exchange) {
      exchange.sendResponseHeaders(200, 0);
      OutputStream out = exchange.getResponseBody();
      long told = 0;
      while (true) {
        long now = revision();
        if (now > told) {
          out.write(line(now, told == 0).getBytes(StandardCharsets.UTF_8));
          out.flush();
          told = now;
        }
        Thread.sleep(EVERY_MS / 4);
      }
    } catch (IOException gone) {
      // The other end has closed the watch.
    } catch (InterruptedException ending) {
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
