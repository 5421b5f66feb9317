package ferngrade.faulttest.upgrade;

import com.eclipsesource.json.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A worker: accepts each job with a 202, runs it for a while, and calls back until it is answered.
 */
final class WorkerStub implements AutoCloseable {
  private static final int CALLBACK_TRIES = 10;
  private static final int CALLBACK_TIMEOUT = 1000;
  private static final long CALLBACK_PAUSE = 50;
  private static final int ACCEPTED = 202;
  private static final int MIN_RUNTIME = 30;
  private static final int MAX_RUNTIME = 300;

  private final String name;
  private final HttpServer server;
  private final Observations observations;
  private final ScheduledExecutorService runner;
  private final ExecutorService callers;
  private volatile InetSocketAddress node;

  /** A worker whose jobs end on {@code runner}'s time and call back on {@code callers}. */
  WorkerStub(
      String name,
      Observations observations,
      ScheduledExecutorService runner,
      ExecutorService callers)
      throws IOException {
    this.name = name;
    this.observations = observations;
    this.runner = runner;
    this.callers = callers;
    this.server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(callers);
    server.createContext("/", this::handle);
    server.start();
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /** Where it calls back. */
  void callBackTo(InetSocketAddress clients) {
    node = clients;
  }

  private void handle(HttpExchange exchange) throws IOException {
    double at = observations.now();
    exchange.getRequestBody().readAllBytes();
    String job = exchange.getRequestHeaders().getFirst("Req-Id");
    if (job != null && exchange.getRequestMethod().equals("POST")) {
      String sender = exchange.getRequestHeaders().getFirst("Dispatcher-Process");
      observations.add(new Observations.Send(at, name, job, sender));
      exchange.sendResponseHeaders(ACCEPTED, -1);
      int runtime = ThreadLocalRandom.current().nextInt(MIN_RUNTIME, MAX_RUNTIME);
      runner.schedule(
          () -> callers.execute(() -> callBack(job, CALLBACK_TRIES)),
          runtime,
          TimeUnit.MILLISECONDS);
    } else {
      exchange.sendResponseHeaders(200, -1);
    }
    exchange.close();
  }

  private void callBack(String job, int tries) {
    String body =
        new JsonObject()
            .add("id", job)
            .add("from", name)
            .add("state", "done")
            .add("result", UpgradeRun.RESULT + job)
            .toString();
    try {
      int status = HttpConnection.call(node, "POST /_jobs/news", body, CALLBACK_TIMEOUT).status();
      if (status == 200 || status == 204) {
        return;
      }
    } catch (IOException unanswered) {
      // Tried again below.
    }
    if (tries > 1) {
      runner.schedule(
          () -> callers.execute(() -> callBack(job, tries - 1)),
          CALLBACK_PAUSE,
          TimeUnit.MILLISECONDS);
    } else {
      observations.step(0, "callback of " + name + " for " + job + " was never answered");
      observations.callbackLost(job);
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
