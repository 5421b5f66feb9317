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
 * A worker that responds with 202 to each job for which a slot or a place in its queue is free. It
 * runs the job for a random time, and then sends the callback, with a limited number of retries,
 * until the node answers. Thread-safe.
 */
final class WorkerStub implements AutoCloseable {
  private static final TimeUnit MILLIS = TimeUnit.MILLISECONDS;
  private static final int MAX_CALLBACK_ATTEMPTS = 10;
  private static final int CALLBACK_TIMEOUT_MILLIS = 1000;
  private static final long CALLBACK_RETRY_MILLIS = 50;
  private static final int ACCEPTED = 202;
  private static final int DECLINED = 503;

  /** The minimum delay of a late acceptance, ms; the maximum is 1.5 times this. */
  private static final int MIN_LATE_ACCEPTANCE_MILLIS = 1000;

  /**
   * The interval, in jobs, between two jobs whose connection is closed under {@link
   * WorkerFault#RESETS}.
   */
  private static final int RESET_INTERVAL = 3;

  private final String name;
  private final HttpServer server;
  private final Observations observations;
  private final ScheduledExecutorService scheduler;
  private final ExecutorService executor;
  private final WorkerBehaviour behaviour;
  private final Queue<ReceivedJob> queue = new ArrayDeque<>();
  private final AtomicInteger received = new AtomicInteger();
  private int running;
  private volatile WorkerFault fault = WorkerFault.NONE;
  private volatile Function<String, InetSocketAddress> callbackAddresses;

  /** A job and the process that sent it, as named by the header of the attempt. */
  private record ReceivedJob(String id, String sender) {}

  /**
   * Creates a worker whose jobs end on {@code scheduler}; callbacks are sent on {@code executor}.
   */
  WorkerStub(
      String name,
      Observations observations,
      ScheduledExecutorService scheduler,
      ExecutorService executor,
      WorkerBehaviour behaviour)
      throws IOException {
    this.name = name;
    this.observations = observations;
    this.scheduler = scheduler;
    this.executor = executor;
    this.behaviour = behaviour;
    this.server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 256);
    server.setExecutor(executor);
    server.createContext("/", this::handle);
    server.start();
  }

  String name() {
    return name;
  }

  InetSocketAddress address() {
    return server.getAddress();
  }

  /**
   * Sets the function that maps the sender of an attempt to the address to which the worker sends
   * its callbacks. The attempt's header names the sender.
   */
  void setCallbackAddress(Function<String, InetSocketAddress> addressBySender) {
    callbackAddresses = addressBySender;
  }

  /** Changes the fault. */
  void setFault(WorkerFault next) {
    fault = next;
  }

  /** Returns the current fault. */
  WorkerFault fault() {
    return fault;
  }

  /** Returns the number of slots. */
  int slots() {
    return behaviour.slots();
  }

  /** Returns the size in the endpoint list: the number of slots, 1 if they are unlimited. */
  int listedSize() {
    return slots() == Integer.MAX_VALUE ? 1 : slots();
  }

  /** Returns the number of running and queued jobs. */
  synchronized int jobsInProgress() {
    return running + queue.size();
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
        // The exchange stays open until the node closes it or the run ends.
      }
      case RESETS -> {
        if (number % RESET_INTERVAL == 0) {
          exchange.close();
        } else {
          accept(exchange, job);
        }
      }
      case ACCEPTS_LATE -> {
        int delay =
            ThreadLocalRandom.current()
                .nextInt(MIN_LATE_ACCEPTANCE_MILLIS, MIN_LATE_ACCEPTANCE_MILLIS * 3 / 2);
        scheduler.schedule(() -> executor.execute(() -> acceptLate(exchange, job)), delay, MILLIS);
      }
      case NONE, CALLS_BACK_TWICE -> accept(exchange, job);
    }
  }

  private void acceptLate(HttpExchange exchange, ReceivedJob job) {
    try {
      accept(exchange, job);
    } catch (IOException disconnected) {
      // The node has abandoned the attempt and closed its connection.
    }
  }

  private void accept(HttpExchange exchange, ReceivedJob job) throws IOException {
    try (exchange) {
      boolean starts;
      synchronized (this) {
        starts = running < behaviour.slots();
        if (!starts && queue.size() >= behaviour.queue()) {
          exchange.getResponseHeaders().set("Srv-Declined", "1");
          exchange.sendResponseHeaders(DECLINED, -1);
          return;
        }
        if (starts) {
          running++;
        } else {
          queue.add(job);
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
    scheduler.schedule(() -> executor.execute(() -> completeJob(job)), runtime, MILLIS);
    if (behaviour.tellsStart()) {
      executor.execute(() -> sendCallback(job, callbackBody(job, "started")));
    }
  }

  private void completeJob(ReceivedJob job) {
    ReceivedJob next;
    synchronized (this) {
      next = queue.poll();
      running -= next == null ? 1 : 0;
    }
    if (next != null) {
      run(next);
    }
    boolean repeats = fault == WorkerFault.CALLS_BACK_TWICE;
    callBack(job, MAX_CALLBACK_ATTEMPTS);
    if (repeats) {
      callBack(job, MAX_CALLBACK_ATTEMPTS);
    }
  }

  private void callBack(ReceivedJob job, int attemptsLeft) {
    JsonObject done = callbackBody(job, "done").add("result", UpgradeRun.RESULT + job.id());
    if (sendCallback(job, done)) {
      return;
    }
    if (attemptsLeft > 1) {
      scheduler.schedule(
          () -> executor.execute(() -> callBack(job, attemptsLeft - 1)),
          CALLBACK_RETRY_MILLIS,
          MILLIS);
    } else {
      observations.step(0, "callback of " + name + " for " + job.id() + " was never answered");
      observations.callbackLost(job.id());
    }
  }

  private JsonObject callbackBody(ReceivedJob job, String state) {
    return new JsonObject().add("id", job.id()).add("from", name).add("state", state);
  }

  /** Sends one callback; returns whether the node has answered it. */
  private boolean sendCallback(ReceivedJob job, JsonObject body) {
    InetSocketAddress node = callbackAddresses.apply(job.sender());
    try {
      int status =
          HttpConnection.call(node, "POST /_jobs/news", body.toString(), CALLBACK_TIMEOUT_MILLIS)
              .status();
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
