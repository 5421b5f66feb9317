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
 * Clients with one connection each, which they use for as long as it stays open: one request at a
 * time, with a pause between two. A request whose connection ends unanswered is sent once more on a
 * new one.
 */
final class ClientLoad {
  /** How long a client waits beyond its deadline before the request counts as unanswered, ms. */
  private static final double GRACE = 500;

  private static final int CONNECT_TIMEOUT = 2000;

  private final InetSocketAddress address;
  private final Observations observations;
  private final double meanPause;
  private final double deadline;
  private final AtomicLong jobs = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  /** {@code clients} of them, with pauses of {@code meanPause} ms on average. */
  ClientLoad(
      InetSocketAddress address,
      Observations observations,
      int clients,
      double meanPause,
      double deadline,
      long seed) {
    this.address = address;
    this.observations = observations;
    this.meanPause = meanPause;
    this.deadline = deadline;
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
        Thread.sleep((long) (-meanPause * Math.log(1 - random.nextDouble())));
        JobKind kind = JobKind.values()[random.nextInt(JobKind.values().length)];
        connection = request(connection, kind);
      }
    } catch (InterruptedException ending) {
      Thread.currentThread().interrupt();
    } finally {
      if (connection != null) {
        connection.close();
      }
    }
  }

  /** Sends one request; returns the connection for the next one, null if a new one is needed. */
  private HttpConnection request(HttpConnection kept, JobKind kind) {
    String job = String.format("%016x", jobs.incrementAndGet());
    String headers =
        "Req-Id: "
            + job
            + "\r\nReq-Kind: "
            + kind.label
            + "\r\nReq-Owner: "
            + UpgradeRun.TENANT
            + "\r\nReq-Deadline: "
            + (long) deadline
            + "m\r\n"
            + (kind == JobKind.PLAN ? "Idempotency-Key: " + job + "\r\n" : "");
    double sentAt = observations.now();
    HttpConnection connection = kept;
    for (int tries = kept == null ? 1 : 2; tries > 0; tries--) {
      try {
        if (connection == null) {
          connection = new HttpConnection(address, CONNECT_TIMEOUT);
        }
        connection.write("POST /api", headers, "");
        sentAt = observations.now();
        HttpConnection.Response response = connection.read((long) (deadline + GRACE));
        ended(job, kind, sentAt, outcome(response, job));
        if (connection.reusable()) {
          return connection;
        }
        connection.close();
        return null;
      } catch (SocketTimeoutException silent) {
        connection.close();
        ended(job, kind, sentAt, Outcome.UNANSWERED);
        return null;
      } catch (IOException closed) {
        if (connection != null) {
          connection.close();
        }
        connection = null;
      }
    }
    ended(job, kind, sentAt, Outcome.CLOSED);
    return null;
  }

  private static Outcome outcome(HttpConnection.Response response, String job) {
    return switch (response.status()) {
      case 200 -> response.body().equals(UpgradeRun.RESULT + job) ? Outcome.SERVED : Outcome.FAILED;
      case 429, 503 -> Outcome.REFUSED;
      default -> Outcome.FAILED;
    };
  }

  private void ended(String job, JobKind kind, double sentAt, Outcome outcome) {
    observations.add(new JobResult(job, kind, sentAt, observations.now(), deadline, outcome));
  }

  /** Ends the load: no client sends another request; waits for those that are out. */
  void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join((long) (2 * (deadline + GRACE)) + CONNECT_TIMEOUT);
    }
  }
}
