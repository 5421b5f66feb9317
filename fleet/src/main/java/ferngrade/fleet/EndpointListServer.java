package ferngrade.fleet;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Serves the endpoint list to a node at {@code /api/targets}: either the whole list, or a watch,
 * which starts with the whole list and continues with each change. The header {@code List-Age-Ms}
 * is the age of the list at the start of the response. Answers 503 until a list is known.
 */
final class EndpointListServer implements AutoCloseable {
  private static final int MAX_WATCHES = 16;
  private static final int MAX_QUEUED_LINES = 1_000;

  /** The interval at which a watch without changes is sent an empty line. */
  private static final long EMPTY_LINE_INTERVAL_MILLIS = 2_000;

  private final ExecutorService threads = Executors.newFixedThreadPool(MAX_WATCHES);
  private final Set<BlockingQueue<String>> watches = ConcurrentHashMap.newKeySet();
  private final HttpServer server;
  private volatile String fullList;
  private volatile double ageMillis;

  EndpointListServer(InetSocketAddress address) throws IOException {
    this.server = HttpServer.create(address, MAX_WATCHES);
    server.setExecutor(threads);
    server.createContext("/api/targets", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /**
   * Sends a line to all watches. {@code wholeList} is the list after this line. Called by one
   * thread.
   */
  void publish(String line, String wholeList) {
    synchronized (watches) {
      fullList = wholeList;
      // If a node reads too slowly, its watch is closed; the node then requests the whole list.
      watches.removeIf(watch -> !watch.offer(line));
    }
  }

  /** Sets the current age of the list, ms. */
  void setAge(double millis) {
    ageMillis = millis;
  }

  private void handle(HttpExchange exchange) throws IOException {
    BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    try (exchange) {
      String query = exchange.getRequestURI().getRawQuery();
      boolean watching = query != null && query.contains("watch=1");
      String firstLine;
      synchronized (watches) {
        firstLine = fullList;
        if (firstLine != null && watching) {
          watches.add(lines);
        }
      }
      if (firstLine == null) {
        exchange.sendResponseHeaders(503, -1);
        return;
      }
      exchange.getResponseHeaders().set("List-Age-Ms", Long.toString(Math.round(ageMillis)));
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(200, 0);
      OutputStream out = exchange.getResponseBody();
      write(out, firstLine);
      while (watching && (watches.contains(lines) || !lines.isEmpty())) {
        String next = lines.poll(EMPTY_LINE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        write(out, next == null ? "" : next);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      watches.remove(lines);
    }
  }

  private static void write(OutputStream out, String line) throws IOException {
    out.write((line + "\n").getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
