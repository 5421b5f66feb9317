package ferngrade.fleet;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Serves operators' calls to a member: {@code GET /-/fleet} and {@code /-/members}, {@code POST
 * /-/fleet/transfer}, {@code /-/fleet/leave} and {@code /-/fleet/measure}.
 */
final class FleetHttpApi implements AutoCloseable {
  private static final long RESPONSE_TIMEOUT_MILLIS = 3_000;
  private static final double LEAVE_TIMEOUT_MILLIS = 5_000;
  private static final double MAX_MEASURE_MILLIS = 10_000;
  private static final int MEASURE_CONCURRENCY = 1_000;

  private final ExecutorService threads = Executors.newFixedThreadPool(2);
  private final HttpServer server;
  private final MemberProcess member;

  private record Reply(int status, String body) {}

  FleetHttpApi(InetSocketAddress address, MemberProcess member) throws IOException {
    this.member = member;
    this.server = HttpServer.create(address, 16);
    server.setExecutor(threads);
    server.createContext("/-/", this::handle);
    server.start();
  }

  private void handle(HttpExchange exchange) throws IOException {
    Reply reply;
    try {
      reply = reply(exchange);
    } catch (ExecutionException | TimeoutException | IllegalArgumentException failure) {
      reply =
          new Reply(failure instanceof IllegalArgumentException ? 400 : 503, failure.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
      reply = new Reply(503, "ending");
    }
    byte[] body = (reply.body() + "\n").getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(reply.status(), body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private Reply reply(HttpExchange exchange)
      throws ExecutionException, TimeoutException, InterruptedException {
    String call = exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath();
    return switch (call) {
      case "GET /-/fleet" ->
          new Reply(
              200,
              member
                  .status()
                  .get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                  .json()
                  .toString());
      case "GET /-/members" ->
          new Reply(
              200,
              member
                  .members()
                  .get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                  .json()
                  .toString());
      case "POST /-/fleet/leave" -> {
        member.leave(LEAVE_TIMEOUT_MILLIS);
        yield new Reply(202, "leaving");
      }
      case "POST /-/fleet/transfer" -> {
        Map<String, String> parameters = query(exchange.getRequestURI().getRawQuery());
        String shard = parameters.getOrDefault("shard", "");
        int slash = shard.lastIndexOf('/');
        if (slash < 0) {
          throw new IllegalArgumentException("shard is not NAME/NUMBER: " + shard);
        }
        Object outcome =
            member
                .transfer(
                    shard.substring(0, slash),
                    Integer.parseInt(shard.substring(slash + 1)),
                    parameters.getOrDefault("to", ""))
                .get(RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        yield outcome instanceof Boolean accepted
            ? accepted ? new Reply(200, "asked for") : new Reply(404, "no such shard or member")
            : new Reply(503, "unknown: " + outcome);
      }
      case "POST /-/fleet/measure" -> {
        double millis =
            Math.min(
                MAX_MEASURE_MILLIS,
                Double.parseDouble(
                    query(exchange.getRequestURI().getRawQuery()).getOrDefault("ms", "3000")));
        yield new Reply(
            200,
            String.format(
                "%.0f",
                member
                    .measure(millis, MEASURE_CONCURRENCY)
                    .get((long) millis + RESPONSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)));
      }
      default -> new Reply(404, "no such call");
    };
  }

  private static Map<String, String> query(String text) {
    Map<String, String> values = new HashMap<>();
    for (String pair : text == null ? new String[0] : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return values;
  }

  @Override
  public void close() {
    server.stop(0);
    threads.shutdownNow();
  }
}
