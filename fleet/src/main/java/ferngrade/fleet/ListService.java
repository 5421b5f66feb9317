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
 * Stands where a node asks for the worker list: the whole of it, or a watch, which begins with the
 * whole and goes on with each line. {@code List-Age-Ms} says how old the list was when the answer
 * began. Before there is a list, 503.
 */
final class ListService implements AutoCloseable {
  private static final int MOST_WATCHES = 16;
  private static final int MOST_WAITING = 1_000;

  /** A watch without changes gets an empty line so often, ms. */
  private static final long SIGN_MS = 2_000;

  private final ExecutorService threads = Executors.newFixedThreadPool(MOST_WATCHES);
  private final Set<BlockingQueue<String>> watches = ConcurrentHashMap.newKeySet();
  private final HttpServer server;
  private volatile String whole;
  private volatile double age;

  ListService(InetSocketAddress address) throws IOException {
    this.server = HttpServer.create(address, MOST_WATCHES);
    server.setExecutor(threads);
    server.createContext("/api/targets", this::handle);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** A line has come; {@code all} is the whole list with it. Called by one thread. */
  void pass(String line, String all) {
    synchronized (watches) {
      whole = all;
      // A node that reads too slowly loses its watch, and asks for the whole again.
      watches.removeIf(watch -> !watch.offer(line));
    }
  }

  /** How old the list is now, ms. */
  void age(double millis) {
    age = millis;
  }

  private void handle(HttpExchange exchange) throws IOException {
    BlockingQueue<String> lines = new ArrayBlockingQueue<>(MOST_WAITING);
    try (exchange) {
      String query = exchange.getRequestURI().getRawQuery();
      boolean watched = query != null && query.contains("watch=1");
      String first;
      synchronized (watches) {
        first = whole;
        if (first != null && watched) {
          watches.add(lines);
        }
      }
      if (first == null) {
        exchange.sendResponseHeaders(503, -1);
        return;
      }
      exchange.getResponseHeaders().set("List-Age-Ms", Long.toString(Math.round(age)));
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(200, 0);
      OutputStream out = exchange.getResponseBody();
      write(out, first);
      while (watched && (watches.contains(lines) || !lines.isEmpty())) {
        String next = lines.poll(SIGN_MS, TimeUnit.MILLISECONDS);
        write(out, next == null ? "" : next);
      }
    } catch (InterruptedException ending) {
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
