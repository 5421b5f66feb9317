package ferngrade.faulttest.upgrade;

import ferngrade.faulttest.upgrade.Observations.JobResult;
import ferngrade.faulttest.upgrade.Observations.Outcome;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A set of clients. Each client keeps one connection for as long as the connection stays open. It
 * sends one request at a time, with a pause between two requests. A request whose connection closes
 * without an answer is retried once on a new connection.
 */
final class ClientLoad {
  /** The time after its deadline at which a request counts as unanswered, ms. */
  private static final double GRACE_MILLIS = 500;

  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final InetSocketAddress address;
  private final Observations observations;
  private final ClientBehaviour behaviour;
  private final AtomicLong jobs = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  /** Starts {@code clients} clients. */
  ClientLoad(
      InetSocketAddress address,
      Observations observations,
      int clients,
      ClientBehaviour behaviour,
      long seed) {
    this.address = address;
    this.observations = observations;
    this.behaviour = behaviour;
    for (int i = 0; i < clients; i++) {
      Random random = new Random(seed + i);
      Thread thread = new Thread(() -> run(random), "client " + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void run(Random random) {
    HttpConnection connection = null;
    try {
      while (running) {
        Thread.sleep((long) (-behaviour.meanPause() * Math.log(1 - random.nextDouble())));
        JobKind kind = JobKind.values()[random.nextInt(JobKind.values().length)];
        boolean abandons = random.nextDouble() < behaviour.abandonShare();
        connection =
            abandons
                ? abandonedRequest(
                    connection, kind, random.nextInt(ClientBehaviour.MAX_WAIT_MILLIS))
                : request(connection, kind);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      if (connection != null) {
        connection.close();
      }
    }
  }

  /**
   * Sends one request; returns the connection for the next request, null if a new one is needed.
   */
  private HttpConnection request(HttpConnection previousConnection, JobKind kind) {
    String job = String.format("%016x", jobs.incrementAndGet());
    String headers = headers(job, kind);
    double sentAt = observations.now();
    HttpConnection connection = previousConnection;
    for (int attemptsLeft = previousConnection == null ? 1 : 2; attemptsLeft > 0; attemptsLeft--) {
      try {
        if (connection == null) {
          connection = new HttpConnection(address, CONNECT_TIMEOUT_MILLIS);
        }
        connection.write("POST /api", headers, "");
        sentAt = observations.now();
        HttpConnection.Response response =
            connection.read((long) (behaviour.deadline() + GRACE_MILLIS));
        recordResult(job, kind, sentAt, outcome(response, job));
        if (connection.reusable()) {
          return connection;
        }
        connection.close();
        return null;
      } catch (SocketTimeoutException timedOut) {
        connection.close();
        recordResult(job, kind, sentAt, Outcome.UNANSWERED);
        return null;
      } catch (IOException closed) {
        if (connection != null) {
          connection.close();
        }
        connection = null;
      }
    }
    recordResult(job, kind, sentAt, Outcome.CLOSED);
    return null;
  }

  private String headers(String job, JobKind kind) {
    return "Req-Id: "
        + job
        + "\r\nReq-Kind: "
        + kind.label
        + "\r\nReq-Owner: "
        + UpgradeRun.TENANT
        + "\r\nReq-Deadline: "
        + (long) behaviour.deadline()
        + "m\r\n"
        + (kind == JobKind.PLAN ? "Idempotency-Key: " + job + "\r\n" : "");
  }

  /**
   * Sends one request and closes the connection {@code wait} ms later, even if no answer has
   * arrived.
   */
  private HttpConnection abandonedRequest(HttpConnection previousConnection, JobKind kind, int wait)
      throws InterruptedException {
    String job = String.format("%016x", jobs.incrementAndGet());
    try (HttpConnection connection =
        previousConnection == null
            ? new HttpConnection(address, CONNECT_TIMEOUT_MILLIS)
            : previousConnection) {
      connection.write("POST /api", headers(job, kind), "");
      Thread.sleep(wait);
    } catch (IOException closed) {
      // The node closed the connection before the client did.
    }
    observations.add(new Observations.Departure(observations.now(), job));
    return null;
  }

  private static Outcome outcome(HttpConnection.Response response, String job) {
    return switch (response.status()) {
      case 200 -> response.body().equals(UpgradeRun.RESULT + job) ? Outcome.SERVED : Outcome.FAILED;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.FAILED;
    };
  }

  private void recordResult(String job, JobKind kind, double sentAt, Outcome outcome) {
    observations.add(
        new JobResult(job, kind, sentAt, observations.now(), behaviour.deadline(), outcome));
  }

  /** Stops the clients from sending further requests, and waits for the requests in progress. */
  void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join((long) (2 * (behaviour.deadline() + GRACE_MILLIS)) + CONNECT_TIMEOUT_MILLIS);
    }
  }
}
