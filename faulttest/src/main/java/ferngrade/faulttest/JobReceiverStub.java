package ferngrade.faulttest;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import ferngrade.lease.FencingGuard;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * A receiver of the fleet's recurring jobs: checks the epoch that each job carries, drops jobs with
 * a repeated idempotency key, and records the result in the history. An unfenced receiver ignores
 * epochs.
 */
final class JobReceiverStub {
  private final ExecutorService executor = Executors.newSingleThreadExecutor();
  private final HttpServer server;
  private final History history;
  private final boolean fenced;
  private final FencingGuard fencingGuard = new FencingGuard();
  private final Set<String> keys = new HashSet<>();

  JobReceiverStub(History history, boolean fenced) throws IOException {
    this.history = history;
    this.fenced = fenced;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(executor);
    server.createContext("/api", this::receive);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  private void receive(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String shard = exchange.getRequestHeaders().getFirst("Fencing-Shard");
    String epoch = exchange.getRequestHeaders().getFirst("Fencing-Token");
    String due = exchange.getRequestHeaders().getFirst("Due");
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    boolean admitted = fencingGuard.admits(shard, Long.parseLong(epoch)) || !fenced;
    boolean repeat = admitted && key != null && !keys.add(key);
    history.add(
        "taker",
        !admitted ? "refused" : repeat ? "repeat" : "landed",
        Map.of("shard", shard, "epoch", epoch, "due", due, "keyed", Boolean.toString(key != null)));
    exchange.sendResponseHeaders(admitted ? 200 : 409, -1);
    exchange.close();
  }

  void close() {
    server.stop(0);
    executor.shutdownNow();
  }
}
