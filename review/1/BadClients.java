package ferngrade.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients hand in jobs while bad clients stop in the middle of a request and stay, or send a
 * hundred requests at once, each again the moment it is turned away. Every job that the node has
 * taken needs an answer.
 */
public final class BadClients {
  private static final int USUAL_CLIENTS = 10;
  private static final long PAUSE_BETWEEN_JOBS_MILLIS = 50;
  private static final long RUN_MILLIS = 300;

  /** All clients together hold fewer than a third of the node's 576 descriptors. */
  private static final int HALF_REQUEST_CLIENTS = 150;

  private static final int MANY_REQUESTS_CLIENTS = 4;
  private static final int REQUESTS_AT_ONCE = 100;

  /** The length of a bad client's body, the largest that the protocol allows, in bytes. */
  private static final int BODY_BYTES = 64 << 10;

  /** The part of it that a client sends which stops in the middle. */
  private static final int SENT_BYTES = 60_000;

  private static final int BAD_CLIENT_TIMEOUT_MILLIS = 5_000;
  private static final long QUIET_MILLIS = 1_000;
  private static final long TROUBLE_MILLIS = 20_000;

  private final RunRecord record;
  private final Set<String> sentIds = MenuWorker.newIdSet();
  private final AtomicInteger lastId = new AtomicInteger();
  private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger badAnswers = new AtomicInteger();
  private final AtomicInteger badWithoutAnswer = new AtomicInteger();
  private volatile boolean troubleOver;

  private record Outcome(Job job, UsualClient.Answer answer) {}

  private BadClients(RunRecord record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws IOException {
    ReviewCase.run(
        arguments,
        (deployment, record, trouble) -> new BadClients(record).run(deployment, trouble));
  }

  private boolean run(Deployment deployment, boolean trouble) throws Exception {
    String listen = Deployment.freeAddress();
    List<MenuWorker> workers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      workers.add(new MenuWorker("s-" + i, () -> listen, RUN_MILLIS, sentIds, record));
    }
    DiscoveryAgent discovery = new DiscoveryAgent(workers);
    try (NodeProcess node = NodeProcess.start(deployment, listen, discovery.address())) {
      node.awaitReady();
      List<Thread> usual = startThreads(USUAL_CLIENTS, () -> handInJobs(listen));
      Thread.sleep(QUIET_MILLIS);
      record.line("bad clients begin: %b", trouble);
      List<Thread> bad =
          startThreads(trouble ? HALF_REQUEST_CLIENTS : 0, () -> sendHalfRequests(listen));
      bad.addAll(startThreads(trouble ? MANY_REQUESTS_CLIENTS : 0, () -> sendManyRequests(listen)));
      Thread.sleep(TROUBLE_MILLIS);
      troubleOver = true;
      for (Thread thread : usual) {
        thread.join();
      }
      for (Thread thread : bad) {
        thread.join();
      }
      return judge(workers, node);
    }
  }

  private static List<Thread> startThreads(int count, Runnable task) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      threads.add(new Thread(task));
    }
    threads.forEach(Thread::start);
    return threads;
  }

  private Job newJob(String owner, String body) {
    Job job = Job.planBuild("r" + lastId.incrementAndGet(), owner, body);
    sentIds.add(job.id());
    return job;
  }

  private void handInJobs(String node) {
    try (UsualClient client = new UsualClient(node)) {
      while (!troubleOver) {
        Job job = newJob("hill-view", "diet notes");
        UsualClient.Answer answer = client.send(job);
        record.line("usual client: %s -> %s", job.id(), answer);
        outcomes.add(new Outcome(job, answer));
        Thread.sleep(PAUSE_BETWEEN_JOBS_MILLIS);
      }
    } catch (IOException | InterruptedException ended) {
      // The run has ended.
    }
  }

  private void sendHalfRequests(String node) {
    String half = "x".repeat(SENT_BYTES);
    while (!troubleOver) {
      Job job = newJob("lake-side", half);
      try (Connection connection = new Connection(node, BAD_CLIENT_TIMEOUT_MILLIS)) {
        connection.writeText(
            job.head() + "\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n" + half);
        HttpMessage answer = connection.read();
        (answer == null ? badWithoutAnswer : badAnswers).incrementAndGet();
      } catch (IOException closedOrLate) {
        badWithoutAnswer.incrementAndGet();
      }
    }
  }

  private void sendManyRequests(String node) {
    String body = "y".repeat(BODY_BYTES);
    while (!troubleOver) {
      try (Connection connection = new Connection(node, BAD_CLIENT_TIMEOUT_MILLIS)) {
        LoopbackServer.daemon(() -> writeRequests(connection, body));
        while (!troubleOver && connection.read() != null) {
          badAnswers.incrementAndGet();
        }
      } catch (IOException closedOrLate) {
        badWithoutAnswer.incrementAndGet();
      }
    }
  }

  private void writeRequests(Connection connection, String body) {
    try {
      for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
        Job job = newJob("lake-side", body);
        connection.write(job.head(), job.body());
      }
    } catch (IOException closed) {
      // The node has closed the connection.
    }
  }

  private boolean judge(List<MenuWorker> workers, NodeProcess node) {
    Set<String> run = MenuWorker.newIdSet();
    workers.forEach(worker -> worker.runs().forEach(one -> run.add(one.requestId())));
    int lost = 0;
    for (Outcome outcome : outcomes) {
      if (isLost(outcome, run)) {
        record.line("LOST: %s got: %s", outcome.job().id(), outcome.answer());
        lost++;
      }
    }
    record.line(
        "%d jobs of usual clients, %d of them lost; bad clients: %d answers, %d times none;"
            + " node alive: %b",
        outcomes.size(), lost, badAnswers.get(), badWithoutAnswer.get(), node.alive());
    return lost == 0 && node.alive();
  }

  /**
   * A job is lost without an answer half a second after its time. One whose connection is closed
   * before that counts only if a menu worker has run it: the node has certainly read it then.
   */
  private static boolean isLost(Outcome outcome, Set<String> run) {
    return switch (outcome.answer().kind()) {
      case NOT_IN_TIME -> true;
      case CLOSED -> run.contains(outcome.job().id());
      case ANSWERED, NOT_CONNECTED -> false;
    };
  }
}
