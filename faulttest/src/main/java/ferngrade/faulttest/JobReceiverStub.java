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
 * Stands for whoever takes the fleet's recurring jobs: looks at the epoch that each carries, drops
 * a repeat of a key, and writes down what it did. A broken one looks at no epoch.
 */
final class JobReceiverStub {
  private final ExecutorService one = Executors.newSingleThreadExecutor();
  private final HttpServer server;
  private final History history;
  private final boolean fenced;
  private final FencingGuard fence = new FencingGuard();
  private final Set<String> keys = new HashSet<>();

  JobReceiverStub(History history, boolean fenced) throws IOException {
    this.history = history;
    this.fenced = fenced;
    this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 64);
    server.setExecutor(one);
    server.createContext("/api", this::take);
    server.start();
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  private void take(HttpExchange exchange) throws IOException {
    exchange.getRequestBody().readAllBytes();
    String shard = exchange.getRequestHeaders().getFirst("Fencing-Shard");
    String epoch = exchange.getRequestHeaders().getFirst("Fencing-Token");
    String due = exchange.getRequestHeaders().getFirst("Due");
    String key = exchange.getRequestHeaders().getFirst("Idempotency-Key");
    boolean admitted = fence.admits(shard, Long.parseLong(epoch)) || !fenced;
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
    one.shutdownNow();
  }
}
