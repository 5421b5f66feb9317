package ferngrade.review;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Supplier;

/**
 * Stands in for a menu worker: takes each job with 202, runs it for a fixed time and tells the node
 * of its start and its end by call-backs. A cancel does not stop a job. A job whose key it has run
 * in the last 15 s is not run again; its call-backs tell the earlier result.
 */
public final class MenuWorker extends LoopbackServer {
  /** The size of the machine, as the list of menu workers tells it. */
  static final int CORES = 5;

  /** How long a worker drops a repeat of a job's key. */
  static final long KEY_WINDOW_MILLIS = 15_000;

  private static final int MAX_CALLBACK_TRIES = 10;
  private static final long CALLBACK_RETRY_MILLIS = 200;
  private static final int CALLBACK_TIMEOUT_MILLIS = 2000;

  private final String id;
  private final Supplier<String> nodeAddress;
  private final long runMillis;
  private final Set<String> sentIds;
  private final RunRecord record;
  private final List<Run> runs = new CopyOnWriteArrayList<>();
  private final Map<String, Long> keysRunAt = new ConcurrentHashMap<>();

  /** One run of a job: the request's id, its key (empty if it has none) and its body. */
  public record Run(String requestId, String key, String body) {}

  /**
   * Creates a worker that runs each job for {@code runMillis} ms. {@code sentIds} holds the ids that
   * clients have sent, and a request with another id gets 400; null if any id is accepted.
   */
  public MenuWorker(
      String id, Supplier<String> nodeAddress, long runMillis, Set<String> sentIds, RunRecord record)
      throws IOException {
    this.id = id;
    this.nodeAddress = nodeAddress;
    this.runMillis = runMillis;
    this.sentIds = sentIds;
    this.record = record;
    start();
  }

  /** Creates an empty set of ids that clients and workers share. */
  public static Set<String> newIdSet() {
    return ConcurrentHashMap.newKeySet();
  }

  /** Returns the worker's id in the list. */
  public String id() {
    return id;
  }

  /** Returns the runs begun so far. */
  public List<Run> runs() {
    return new ArrayList<>(runs);
  }

  @Override
  void serve(Socket connection) throws IOException {
    for (HttpMessage request = HttpMessage.read(connection.getInputStream());
        request != null;
        request = HttpMessage.read(connection.getInputStream())) {
      String requestId = request.header("Req-Id");
      int status = 202;
      if (request.word(0).equals("DELETE")) {
        record.line("%s is told to give up %s", id, request.word(1));
        status = 200;
      } else if (requestId.isEmpty()) {
        status = 404;
      } else if (sentIds != null && !sentIds.contains(requestId)) {
        status = 400;
      }
      respond(connection, status);
      if (status == 202) {
        take(
            new Run(requestId, request.header("Idempotency-Key"), request.text()),
            request.header("Dispatcher-Process"));
      }
    }
  }

  private static void respond(Socket connection, int status) throws IOException {
    connection
        .getOutputStream()
        .write(
            ("HTTP/1.1 " + status + " Status\r\nContent-Length: 0\r\n\r\n")
                .getBytes(StandardCharsets.UTF_8));
  }

  private void take(Run run, String process) {
    String shown = run.body().length() > 40 ? run.body().length() + " bytes" : run.body();
    boolean repeat = !run.key().isEmpty() && isRepeat(run.key());
    if (!repeat) {
      runs.add(run);
    }
    record.line(
        "%s %s %s (%s) key=%s, sent by %s",
        id, repeat ? "drops the repeat" : "runs", run.requestId(), shown, run.key(), process);
    daemon(
        () -> {
          try {
            callBack(run, "\"started\"");
            Thread.sleep(repeat ? 0 : runMillis);
            callBack(run, "\"done\",\"result\":\"" + result(run.body()) + "\"");
          } catch (InterruptedException ended) {
            // The run has ended.
          }
        });
  }

  private boolean isRepeat(String key) {
    long now = System.currentTimeMillis();
    Long runAt = keysRunAt.get(key);
    if (runAt != null && now - runAt < KEY_WINDOW_MILLIS) {
      return true;
    }
    keysRunAt.put(key, now);
    return false;
  }

  /** Returns the result of a job with this body. */
  public static String result(String body) {
    return "made of " + (body.length() > 40 ? body.length() + " bytes" : body);
  }

  private void callBack(Run run, String state) throws InterruptedException {
    String body =
        "{\"id\":\"" + run.requestId() + "\",\"from\":\"" + id + "\",\"state\":" + state + "}";
    for (int i = 0; i < MAX_CALLBACK_TRIES; i++) {
      int status = callBackOnce(body);
      record.line("%s calls back %s: %d", id, body, status);
      if (status == 200 || status == 204) {
        return;
      }
      Thread.sleep(CALLBACK_RETRY_MILLIS);
    }
  }

  private int callBackOnce(String body) {
    try (Connection connection = new Connection(nodeAddress.get(), CALLBACK_TIMEOUT_MILLIS)) {
      connection.write("POST /_jobs/news HTTP/1.1\r\nHost: backend.local", body);
      HttpMessage answer = connection.read();
      return answer == null ? 0 : answer.status();
    } catch (IOException unanswered) {
      return 0;
    }
  }
}
