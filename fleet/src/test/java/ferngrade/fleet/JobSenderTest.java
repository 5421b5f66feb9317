package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import ferngrade.fleet.FleetFile.Effect;
import ferngrade.fleet.FleetFile.Job;
import ferngrade.lease.RecurringSchedule;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against recurring jobs that are submitted twice, or not retried after a rejection. */
class JobSenderTest {
  private final ExecutorService loop = Executors.newSingleThreadExecutor();
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<String> received = Collections.synchronizedList(new ArrayList<>());
  private final List<Long> receivedAtNanos = Collections.synchronizedList(new ArrayList<>());

  @AfterEach
  void stopServers() {
    servers.forEach(server -> server.stop(0));
    loop.shutdownNow();
  }

  /** Starts a target that answers with these status codes in turn and then repeats the last. */
  private InetSocketAddress target(String name, String retryAfter, int... codes)
      throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
    int[] requestCount = new int[1];
    server.createContext(
        "/api",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          receivedAtNanos.add(System.nanoTime());
          received.add(name + " " + exchange.getRequestHeaders().getFirst("Fencing-Token"));
          int code = codes[Math.min(requestCount[0]++, codes.length - 1)];
          if (code == 503 && retryAfter != null) {
            exchange.getResponseHeaders().set("Retry-After", retryAfter);
          }
          exchange.sendResponseHeaders(code, -1);
          exchange.close();
        });
    server.start();
    servers.add(server);
    return server.getAddress();
  }

  private Optional<String> send(
      Effect effect, BooleanSupplier stillOwned, InetSocketAddress... targets) throws Exception {
    Job job =
        new Job(
            new RecurringSchedule("sweep", 1_000, true, effect != Effect.UNSAFE),
            effect,
            "c",
            "t",
            "{}",
            5_000);
    CompletableFuture<Optional<String>> result = new CompletableFuture<>();
    JobSender sender = new JobSender("f", List.of(targets), loop);
    loop.execute(() -> sender.send(job, 1_000, 7, stillOwned, result::complete));
    return result.get(30, TimeUnit.SECONDS);
  }

  @Test
  void triesNextTargetImmediatelyAfterRejection() throws Exception {
    assertEquals(
        Optional.of("served"),
        send(Effect.UNSAFE, () -> true, target("a", "2", 503), target("b", null, 200)));
    assertEquals(List.of("a 7", "b 7"), received);
  }

  @Test
  void waitsShortestRetryAfterOnceAllTargetsHaveRejected() throws Exception {
    assertEquals(
        Optional.of("served"),
        send(Effect.UNSAFE, () -> true, target("a", "9", 503, 200), target("b", "0.3", 503, 200)));
    assertEquals(List.of("a 7", "b 7", "a 7"), received);
    assertTrue(
        receivedAtNanos.get(2) - receivedAtNanos.get(1) >= 290_000_000L,
        "waited " + (receivedAtNanos.get(2) - receivedAtNanos.get(1)) / 1e6 + " ms");
  }

  @Test
  void givesUpAfterThreeRoundsAndStopsOnceShardIsLost() throws Exception {
    assertEquals(Optional.of("refused"), send(Effect.KEYED, () -> true, target("a", "0", 503)));
    assertEquals(3, received.size());
    assertEquals(
        Optional.empty(), send(Effect.KEYED, () -> received.size() < 4, target("b", "0", 503)));
    assertEquals(4, received.size());
  }

  @Test
  void doesNotRetryFailureAfterWhichJobMayHaveRun() throws Exception {
    assertEquals(
        Optional.of("failed: 502"), send(Effect.UNSAFE, () -> true, target("a", null, 502)));
    assertEquals(1, received.size());
  }
}
