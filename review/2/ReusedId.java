package ferngrade.review;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * A node is upgraded while a supply order runs. A bad client sends a request with the id of that
 * order. It is owed an error, and the order must run once.
 */
public final class ReusedId {
  private static final long RUN_MILLIS = 2_000;

  /** The time from the order to SIGTERM. */
  private static final long ORDER_HEAD_START_MILLIS = 300;

  private static final int BAD_CLIENT_TIMEOUT_MILLIS = 8_000;
  private static final long ANSWER_TIMEOUT_SECONDS = 30;

  private static final Job ORDER =
      Job.supplyOrder("order-1", "hill-view", "rice for hill-view");
  private static final Job COPY = Job.supplyOrder(ORDER.id(), "lake-side", "fish for lake-side");

  private final RunRecord record;
  private final boolean trouble;

  private ReusedId(RunRecord record, boolean trouble) {
    this.record = record;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) throws IOException {
    ReviewCase.run(
        arguments,
        (deployment, record, trouble) -> new ReusedId(record, trouble).run(deployment));
  }

  private boolean run(Deployment deployment) throws Exception {
    Set<String> sentIds = MenuWorker.newIdSet();
    sentIds.add(ORDER.id());
    try (SharedSocket socket = new SharedSocket(deployment)) {
      List<MenuWorker> workers =
          List.of(
              new MenuWorker("s-1", socket::address, RUN_MILLIS, sentIds, record),
              new MenuWorker("s-2", socket::address, RUN_MILLIS, sentIds, record));
      DiscoveryAgent discovery = new DiscoveryAgent(workers);
      Path config = deployment.writeConfig(socket.address(), discovery.address());
      try (NodeProcess earlier = socket.start(config, discovery.address())) {
        earlier.awaitReady();
        // The earlier process accepts this connection, because it is the only one.
        UsualClient client = new UsualClient(socket.address());
        client.connect(ORDER.deadlineMillis());
        try (NodeProcess next = socket.start(config, discovery.address())) {
          next.awaitReady();
          record.line("upgrade: process %d serves, process %d is ready", earlier.pid(), next.pid());
          return judge(workers, sendDuringUpgrade(socket, earlier, client));
        }
      }
    }
  }

  /** Sends the order and, with trouble, its copy. Returns the status of the copy's answer. */
  private int sendDuringUpgrade(SharedSocket socket, NodeProcess earlier, UsualClient client)
      throws Exception {
    record.line("usual client sends %s (%s)", ORDER.id(), ORDER.body());
    CompletableFuture<UsualClient.Answer> answer =
        CompletableFuture.supplyAsync(() -> sendOrder(client));
    Thread.sleep(ORDER_HEAD_START_MILLIS);
    record.line("upgrade: SIGTERM to process %d", earlier.pid());
    earlier.signal("TERM");
    // From then on the other process accepts all connections.
    earlier.awaitNotReady();
    int copyStatus = trouble ? sendCopy(socket.address()) : 0;
    record.line("usual client: %s", answer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS));
    return copyStatus;
  }

  private static UsualClient.Answer sendOrder(UsualClient client) {
    try {
      return client.send(ORDER);
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** Returns the status of the answer, 0 if the node closes the connection. */
  private int sendCopy(String node) throws IOException {
    record.line("bad client sends %s (%s)", COPY.id(), COPY.body());
    try (Connection connection = new Connection(node, BAD_CLIENT_TIMEOUT_MILLIS)) {
      connection.write(COPY.head(), COPY.body());
      HttpMessage answer = connection.read();
      record.line(
          "bad client: %s", answer == null ? "closed" : answer.status() + " " + answer.text());
      return answer == null ? 0 : answer.status();
    }
  }

  private boolean judge(List<MenuWorker> workers, int copyStatus) {
    long runs =
        workers.stream()
            .flatMap(worker -> worker.runs().stream())
            .filter(run -> run.requestId().equals(ORDER.id()))
            .count();
    record.line(
        "verdict: %s ran %d times, the bad client got the status %d", ORDER.id(), runs, copyStatus);
    return runs <= 1 && copyStatus != 200;
  }
}
