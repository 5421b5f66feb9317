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
  private final ClientBehaviour behaviour;
  private final AtomicLong jobs = new AtomicLong();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean running = true;

  /** {@code clients} of them. */
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
        boolean leaves = random.nextDouble() < behaviour.leaveShare();
        connection =
            leaves
                ? abandonedRequest(connection, kind, random.nextInt(ClientBehaviour.MAX_WAIT))
                : request(connection, kind);
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
    String headers = headers(job, kind);
    double sentAt = observations.now();
    HttpConnection connection = kept;
    for (int tries = kept == null ? 1 : 2; tries > 0; tries--) {
      try {
        if (connection == null) {
          connection = new HttpConnection(address, CONNECT_TIMEOUT);
        }
        connection.write("POST /api", headers, "");
        sentAt = observations.now();
        HttpConnection.Response response = connection.read((long) (behaviour.deadline() + GRACE));
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

  /** Sends one request and closes the connection {@code wait} ms later, whatever has come. */
  private HttpConnection abandonedRequest(HttpConnection kept, JobKind kind, int wait)
      throws InterruptedException {
    String job = String.format("%016x", jobs.incrementAndGet());
    try (HttpConnection connection =
        kept == null ? new HttpConnection(address, CONNECT_TIMEOUT) : kept) {
      connection.write("POST /api", headers(job, kind), "");
      Thread.sleep(wait);
    } catch (IOException closed) {
      // The node has ended the connection before its client could.
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

  private void ended(String job, JobKind kind, double sentAt, Outcome outcome) {
    observations.add(
        new JobResult(job, kind, sentAt, observations.now(), behaviour.deadline(), outcome));
  }

  /** Ends the load: no client sends another request; waits for those that are out. */
  void stop() throws InterruptedException {
    running = false;
    for (Thread thread : threads) {
      thread.join((long) (2 * (behaviour.deadline() + GRACE)) + CONNECT_TIMEOUT);
    }
  }
}
