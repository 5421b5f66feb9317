package ferngrade.faulttest.upgrade;

import com.eclipsesource.json.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

/**
 * A worker: accepts each job for which it has a slot or a place in its queue with a 202, runs it
 * for a while, and calls back until it is answered. Any thread may use it.
 */
final class WorkerStub implements AutoCloseable {
  private static final TimeUnit MILLIS = TimeUnit.MILLISECONDS;
  private static final int CALLBACK_TRIES = 10;
  private static final int CALLBACK_TIMEOUT = 1000;
  private static final long CALLBACK_PAUSE = 50;
  private static final int ACCEPTED = 202;
  private static final int DECLINED = 503;

  /** How long a worker that accepts late waits, ms: between this and half as much again. */
  private static final int LATE_ACCEPTANCE = 1000;

  /** Of how many jobs one is reset by a worker that resets. */
  private static final int RESET_INTERVAL = 3;

  private final String name;
  private final HttpServer server;
  private final Observations observations;
  private final ScheduledExecutorService runner;
  private final ExecutorService callers;
  private final WorkerBehaviour behaviour;
  private final Queue<ReceivedJob> waiting = new ArrayDeque<>();
  private final AtomicInteger received = new AtomicInteger();
  private int running;
  private volatile WorkerFault fault = WorkerFault.NONE;
  private volatile Function<String, InetSocketAddress> nodes;

  /** A job, and what its attempt said of the process that sent it. */
  private record ReceivedJob(String id, String sender) {}

  /** A worker whose jobs end on {@code runner}'s time and call back on {@code callers}. */
  WorkerStub(
      String name,
      Observations observations,
      ScheduledExecutorService runner,
      ExecutorService callers,
      WorkerBehaviour behaviour)
      throws IOException {
    this.name = name;
    this.observations = observations;
    this.runner = runner;
    this.callers = callers;
    this.behaviour = behaviour;
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

  /** Where it calls back about a job, by what the attempt said of its sender. */
  void callBackTo(Function<String, InetSocketAddress> bySender) {
    nodes = bySender;
  }

  /** What it does wrong from now on. */
  void fault(WorkerFault next) {
    fault = next;
  }

  /** What it does wrong now. */
  WorkerFault fault() {
    return fault;
  }

  /** Its slots. */
  int slots() {
    return behaviour.slots();
  }

  /** The size that the endpoint list tells: its slots, 1 where they are no limit. */
  int listedSize() {
    return slots() == Integer.MAX_VALUE ? 1 : slots();
  }

  /** The jobs that it runs or that wait in its queue. */
  synchronized int inWork() {
    return running + waiting.size();
  }

  private void handle(HttpExchange exchange) throws IOException {
    double at = observations.now();
    exchange.getRequestBody().readAllBytes();
    String job = exchange.getRequestHeaders().getFirst("Req-Id");
    if (job != null && exchange.getRequestMethod().equals("POST")) {
      String sender = exchange.getRequestHeaders().getFirst("Dispatcher-Process");
      observations.add(new Observations.Send(at, name, job, sender));
      received(exchange, new ReceivedJob(job, sender));
    } else {
      exchange.sendResponseHeaders(200, -1);
      exchange.close();
    }
  }

  private void received(HttpExchange exchange, ReceivedJob job) throws IOException {
    int number = received.incrementAndGet();
    switch (fault) {
      case HANGS -> {
        // The exchange stays open until the node or the run ends it.
      }
      case RESETS -> {
        if (number % RESET_INTERVAL == 0) {
          exchange.close();
        } else {
          accept(exchange, job);
        }
      }
      case ACCEPTS_LATE -> {
        int delay = ThreadLocalRandom.current().nextInt(LATE_ACCEPTANCE, LATE_ACCEPTANCE * 3 / 2);
        runner.schedule(() -> callers.execute(() -> acceptLate(exchange, job)), delay, MILLIS);
      }
      case NONE, CALLS_BACK_TWICE -> accept(exchange, job);
    }
  }

  private void acceptLate(HttpExchange exchange, ReceivedJob job) {
    try {
      accept(exchange, job);
    } catch (IOException gone) {
      // The node has given the attempt up, and its connection with it.
    }
  }

  private void accept(HttpExchange exchange, ReceivedJob job) throws IOException {
    try (exchange) {
      boolean starts;
      synchronized (this) {
        starts = running < behaviour.slots();
        if (!starts && waiting.size() >= behaviour.queue()) {
          exchange.getResponseHeaders().set("Srv-Declined", "1");
          exchange.sendResponseHeaders(DECLINED, -1);
          return;
        }
        if (starts) {
          running++;
        } else {
          waiting.add(job);
        }
      }
      exchange.sendResponseHeaders(ACCEPTED, -1);
      if (starts) {
        run(job);
      }
    }
  }

  private void run(ReceivedJob job) {
    int runtime =
        ThreadLocalRandom.current().nextInt(behaviour.minRuntime(), behaviour.maxRuntime() + 1);
    runner.schedule(() -> callers.execute(() -> ended(job)), runtime, MILLIS);
    if (behaviour.tellsStart()) {
      callers.execute(() -> answered(job, news(job, "started")));
    }
  }

  private void ended(ReceivedJob job) {
    ReceivedJob next;
    synchronized (this) {
      next = waiting.poll();
      running -= next == null ? 1 : 0;
    }
    if (next != null) {
      run(next);
    }
    boolean twice = fault == WorkerFault.CALLS_BACK_TWICE;
    callBack(job, CALLBACK_TRIES);
    if (twice) {
      callBack(job, CALLBACK_TRIES);
    }
  }

  private void callBack(ReceivedJob job, int tries) {
    JsonObject done = news(job, "done").add("result", UpgradeRun.RESULT + job.id());
    if (answered(job, done)) {
      return;
    }
    if (tries > 1) {
      runner.schedule(
          () -> callers.execute(() -> callBack(job, tries - 1)), CALLBACK_PAUSE, MILLIS);
    } else {
      observations.step(0, "callback of " + name + " for " + job.id() + " was never answered");
      observations.callbackLost(job.id());
    }
  }

  private JsonObject news(ReceivedJob job, String state) {
    return new JsonObject().add("id", job.id()).add("from", name).add("state", state);
  }

  /** Sends one callback; true if the node has answered it. */
  private boolean answered(ReceivedJob job, JsonObject body) {
    InetSocketAddress node = nodes.apply(job.sender());
    try {
      int status =
          HttpConnection.call(node, "POST /_jobs/news", body.toString(), CALLBACK_TIMEOUT).status();
      return status == 200 || status == 204;
    } catch (IOException unanswered) {
      return false;
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }
}
