package ferngrade.review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Usual clients hand in jobs while bad clients stop in the middle of a request and stay, each again
 * the moment it is turned away. Every job that a menu worker has run needs an answer.
 */
public final class HalfRequests {
  private static final int USUAL_CLIENTS = 10;
  private static final long PAUSE_BETWEEN_JOBS_MILLIS = 50;
  private static final long RUN_MILLIS = 300;

  /** Bad clients: fewer than a third of the node's 1,024 descriptors. */
  private static final int BAD_CLIENTS = 200;

  /** The length that a bad client announces, the largest that the protocol allows, in bytes. */
  private static final int ANNOUNCED_BYTES = 64 << 10;

  private static final int SENT_BYTES = 60_000;
  private static final int BAD_CLIENT_TIMEOUT_MILLIS = 5_000;
  private static final long QUIET_MILLIS = 1_000;
  private static final long TROUBLE_MILLIS = 20_000;

  private final RunRecord record;
  private final Set<String> sentIds = MenuWorker.newIdSet();
  private final AtomicInteger lastId = new AtomicInteger();
  private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger turnedAway = new AtomicInteger();
  private final AtomicInteger badWithoutAnswer = new AtomicInteger();
  private volatile boolean troubleOver;

  private record Outcome(Job job, UsualClient.Answer answer) {}

  private HalfRequests(RunRecord record) {
    this.record = record;
  }

  public static void main(String[] arguments) throws IOException {
    ReviewCase.run(
        arguments,
        (deployment, record, trouble) -> new HalfRequests(record).run(deployment, trouble));
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
      record.line("trouble begins: %s", trouble ? BAD_CLIENTS + " bad clients" : "none");
      List<Thread> bad = startThreads(trouble ? BAD_CLIENTS : 0, () -> sendHalfRequests(listen));
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
            job.head() + "\r\nContent-Length: " + ANNOUNCED_BYTES + "\r\n\r\n" + half);
        HttpMessage answer = connection.read();
        (answer == null ? badWithoutAnswer : turnedAway).incrementAndGet();
      } catch (IOException closedOrLate) {
        badWithoutAnswer.incrementAndGet();
      }
    }
  }

  private boolean judge(List<MenuWorker> workers, NodeProcess node) {
    Set<String> run = MenuWorker.newIdSet();
    workers.forEach(worker -> worker.runs().forEach(one -> run.add(one.requestId())));
    int lost = 0;
    for (Outcome outcome : outcomes) {
      // A job that no menu worker has run may not have been taken; only the others count.
      if (run.contains(outcome.job().id()) && outcome.answer().kind() != UsualClient.Kind.ANSWERED) {
        record.line("LOST: %s ran, its client got: %s", outcome.job().id(), outcome.answer());
        lost++;
      }
    }
    record.line(
        "%d jobs of usual clients, %d of them run and lost; bad clients: %d times turned away, %d"
            + " times not; node alive: %b",
        outcomes.size(), lost, turnedAway.get(), badWithoutAnswer.get(), node.alive());
    return lost == 0 && node.alive();
  }
}
