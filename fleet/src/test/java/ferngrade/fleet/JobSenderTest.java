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

/** Where a recurring job is put in, and when again. */
class JobSenderTest {
  private final ExecutorService loop = Executors.newSingleThreadExecutor();
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<String> came = Collections.synchronizedList(new ArrayList<>());
  private final List<Long> times = Collections.synchronizedList(new ArrayList<>());

  @AfterEach
  void end() {
    servers.forEach(each -> each.stop(0));
    loop.shutdownNow();
  }

  /** A target that answers with these codes, one after another, the last for ever. */
  private InetSocketAddress target(String name, String retryAfter, int... codes)
      throws IOException {
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 8);
    int[] next = new int[1];
    server.createContext(
        "/api",
        exchange -> {
          exchange.getRequestBody().readAllBytes();
          times.add(System.nanoTime());
          came.add(name + " " + exchange.getRequestHeaders().getFirst("Fencing-Token"));
          int code = codes[Math.min(next[0]++, codes.length - 1)];
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

  private Optional<String> put(Effect effect, BooleanSupplier holds, InetSocketAddress... targets)
      throws Exception {
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
    loop.execute(() -> sender.put(job, 1_000, 7, holds, result::complete));
    return result.get(30, TimeUnit.SECONDS);
  }

  @Test
  void aRefusalIsFollowedByTheNextTargetAtOnce() throws Exception {
    assertEquals(
        Optional.of("served"),
        put(Effect.UNSAFE, () -> true, target("a", "2", 503), target("b", null, 200)));
    assertEquals(List.of("a 7", "b 7"), came);
  }

  @Test
  void onceAllHaveRefusedTheShortestTimeThatWasAskedForIsWaited() throws Exception {
    assertEquals(
        Optional.of("served"),
        put(Effect.UNSAFE, () -> true, target("a", "9", 503, 200), target("b", "0.3", 503, 200)));
    assertEquals(List.of("a 7", "b 7", "a 7"), came);
    assertTrue(
        times.get(2) - times.get(1) >= 290_000_000L,
        "waited " + (times.get(2) - times.get(1)) / 1e6 + " ms");
  }

  @Test
  void itIsGivenUpAfterThreeRoundsAndNotPutInOnceTheShardIsLost() throws Exception {
    assertEquals(Optional.of("refused"), put(Effect.KEYED, () -> true, target("a", "0", 503)));
    assertEquals(3, came.size());
    assertEquals(Optional.empty(), put(Effect.KEYED, () -> came.size() < 4, target("b", "0", 503)));
    assertEquals(4, came.size());
  }

  @Test
  void aFailureThatMayHaveRunIsNotPutInAgain() throws Exception {
    assertEquals(
        Optional.of("failed: 502"), put(Effect.UNSAFE, () -> true, target("a", null, 502)));
    assertEquals(1, came.size());
  }
}
