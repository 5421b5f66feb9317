package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A stop on real connections: whatever workers and clients do, it is over before the earliest kill,
 * and nothing that was read is left without an answer. The clock stands still but where the test
 * moves it.
 */
@Test(timeOut = 30_000)
public class ShutdownTest extends NodeIntegrationFixture {
  private static final double HELD_UP = 150;
  private static final double LATE_IN_THE_GRACE = 500;
  private static final int REFUSED = 503;
  private static final int FAILED = 502;
  private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String STOPPING = "stopping";
  private static final String ACCEPTED_ALL = "no more jobs are accepted";
  private static final String SHUTDOWN_ENDS = "shutdown ends";
  private static final List<String> KINDS = List.of("order", "plan", "draft");

  private final Map<String, Hold> holds = new ConcurrentHashMap<>();

  private volatile String end;

  /** All connections of a test's clients and of its worker: they stay open until it is over. */
  private final List<RawHttp> connections = new ArrayList<>();

  /** Keeps the event loop busy at a line of the log, until the test lets it go on. */
  private record Hold(Runnable atReached, CountDownLatch reached, CountDownLatch released) {}

  /** What the worker does with the jobs, and the answer that their clients are owed for it. */
  private enum Worker {
    TAKES_JOBS_AND_HANGS(FAILED),
    READS_JOBS_AND_HANGS(FAILED),
    NEVER_LETS_CONNECT(REFUSED);

    private final int status;

    Worker(int status) {
      this.status = status;
    }
  }

  private Hold hold(String line) {
    return hold(line, () -> {});
  }

  private Hold hold(String line, Runnable atReached) {
    Hold hold = new Hold(atReached, new CountDownLatch(1), new CountDownLatch(1));
    holds.put(line, hold);
    return hold;
  }

  private void logged(String line) {
    end = line.startsWith(SHUTDOWN_ENDS) ? line : end;
    Hold hold = holds.remove(line);
    if (hold != null) {
      hold.atReached.run();
      hold.reached.countDown();
      try {
        hold.released.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  @AfterMethod(alwaysRun = true, timeOut = 10_000)
  @Override
  public void end() throws Exception {
    for (RawHttp each : connections) {
      each.close();
    }
    connections.clear();
    holds.clear();
    super.end();
  }

  private RawHttp connect() throws IOException {
    RawHttp client = RawHttp.to(node.address());
    connections.add(client);
    return client;
  }

  private void start(double deadline) throws Exception {
    start(
        list(1, "active"),
        config(discovery.getLocalPort(), null, "push", deadline),
        () -> now,
        this::logged);
  }

  private static String request(String id, String kind, double deadline) {
    return RawHttp.message(
        job("POST /api", id, kind).replace("9000m", (int) deadline + "m")
            + "\r\nIdempotency-Key: k-"
            + id,
        "body");
  }

  private void readJob(String reply) throws IOException {
    RawHttp workerEnd = new RawHttp(worker.accept());
    connections.add(workerEnd);
    workerEnd.read();
    workerEnd.write(reply);
  }

  /** A client that has had one answer: its connection is known, and rests. */
  private RawHttp knownClient(String id) throws IOException {
    RawHttp client = connect().write(request(id, "order", 9000));
    readJob(TAKEN);
    callBack(id, DONE);
    assertEquals(client.read().status(), 200);
    return client;
  }

  /** Something that may be interrupted. */
  @FunctionalInterface
  private interface Waiting {
    void run() throws InterruptedException;
  }

  private static CompletableFuture<Void> inBackground(Waiting task) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            task.run();
          } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
          }
        });
  }

  /** Stops the node, and returns once it has heard of it; meanwhile it may be held up. */
  private CompletableFuture<Void> stopInBackground(double grace, double heldUp)
      throws InterruptedException {
    Hold stopping = hold(STOPPING);
    CompletableFuture<Void> stopped = inBackground(() -> node.stop(grace));
    stopping.reached.await();
    advance(heldUp);
    stopping.released.countDown();
    return stopped;
  }

  private static void over(CompletableFuture<Void> stopped) throws Exception {
    stopped.get(5, TimeUnit.SECONDS);
  }

  /** The queue of the worker's listener is full: a dial hangs. */
  private List<Socket> fillWorkersQueue() throws IOException {
    worker.close();
    worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    return List.of(
        new Socket(worker.getInetAddress(), worker.getLocalPort()),
        new Socket(worker.getInetAddress(), worker.getLocalPort()));
  }

  @DataProvider
  public Object[][] workersThatHang() {
    return Stream.of(Worker.values())
        .flatMap(
            each ->
                Stream.of(
                    new Object[] {each, 150, 850, false}, new Object[] {each, 1000, 1700, true},
                    new Object[] {each, 4000, 3700, false},
                        new Object[] {each, 10_000, 3700, true}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "workersThatHang")
  public void stopIsOverAndAllIsAnsweredBeforeTheEarliestKill(
      Worker worker, int deadline, int kill, boolean heldUp) throws Exception {
    List<Socket> filled = worker == Worker.NEVER_LETS_CONNECT ? fillWorkersQueue() : List.of();
    start(deadline);
    double signalled = now;
    List<RawHttp> clients = new ArrayList<>();
    for (String kind : KINDS) {
      clients.add(connect().write(request(kind, kind, deadline)));
      if (worker != Worker.NEVER_LETS_CONNECT) {
        readJob(worker == Worker.TAKES_JOBS_AND_HANGS ? TAKEN : "");
      }
    }
    RawHttp resting = connect();
    RawHttp late = connect();
    settled();
    CompletableFuture<Void> stopped =
        stopInBackground(Double.POSITIVE_INFINITY, heldUp ? HELD_UP : 0);
    now = signalled + LATE_IN_THE_GRACE;
    late.write(request("late", "order", deadline));
    settled();

    now = signalled + kill - HELD_UP;
    for (RawHttp client : clients) {
      assertEquals(client.read().status(), worker.status);
      assertNull(client.read(), "an end");
    }
    int answer = late.read().status();
    assertTrue(answer == worker.status || answer == REFUSED, "late in the grace: " + answer);
    assertNull(late.read(), "an end");
    // The clients hold on to their connections, and one still sends: nothing of this keeps the
    // process.
    assertNull(resting.write(request("crossing", "order", deadline)).read(), "an end");
    over(stopped);
    for (Socket each : filled) {
      each.close();
    }
  }

  @Test
  public void requestThatCrossesTheShutdownIsNotReadAndSeesAnEndThoughTheProcessEnds()
      throws Exception {
    start(9000);
    RawHttp resting = knownClient("known");
    RawHttp sendingOn = knownClient("sending");
    Hold accepted = hold(ACCEPTED_ALL);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    accepted.reached.await();
    resting.write(request("crossing", "order", 9000));
    accepted.released.countDown();
    assertNull(resting.read(), "an end");
    resting.write(request("behind", "order", 9000));
    settleOn(resting);
    for (int i = 0; i < 100; i++) {
      sendingOn.write(request("more" + i, "order", 9000));
    }
    advance(4000);
    over(stopped);
    assertNull(
        sendingOn.read(), "an end and no reset, though nothing was read before the process ended");
    worker.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, worker::accept);
  }

  /**
   * Returns once this connection, shut by the node, has seen what a reset would do to it: its
   * writes would fail.
   */
  private static void settleOn(RawHttp client) throws IOException {
    for (int i = 0; i < 10; i++) {
      assertNull(client.write("more").read(), "no reset");
    }
  }

  @Test
  public void requestsThatWaitBehindAnotherOneAreAllAnsweredThoughTheNodeStops() throws Exception {
    start(9000);
    RawHttp client = connect();
    client.write(
        request("a", "order", 9000) + request("b", "draft", 9000) + request("c", "order", 9000));
    readJob(TAKEN);
    settled();
    Hold accepted = hold(ACCEPTED_ALL);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    accepted.reached.await();
    accepted.released.countDown();
    callBack("a", DONE);
    assertEquals(client.read().body(), "soup");
    assertEquals(client.read().status(), REFUSED);
    RawHttp.Message last = client.read();
    assertEquals(last.status(), REFUSED);
    assertEquals(last.headers().get("Connection"), "close");
    assertNull(client.read());
    advance(4000);
    over(stopped);
  }

  @Test
  public void requestThatHasComeInPartIsRefusedBeforeTheProcessEnds() throws Exception {
    start(150);
    double signalled = now;
    String request = request("half", "order", 150);
    RawHttp half = connect().write(request.substring(0, request.length() - 2));
    settled();
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    now = signalled + 850 - HELD_UP;
    assertEquals(half.read().status(), REFUSED);
    assertNull(half.read(), "an end");
    over(stopped);
  }

  /** Fails where a process that was held up ends before it writes the answers that it owes. */
  @Test
  public void answersThatAreDueInTheTurnOfTheEndAreWrittenFirst() throws Exception {
    start(9000);
    RawHttp client = connect().write(request("a", "order", 9000));
    readJob(TAKEN);
    double signalled = now;
    Hold accepted = hold(ACCEPTED_ALL);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    accepted.reached.await();
    accepted.released.countDown();
    settled();
    now = signalled + 3700 - HELD_UP;
    over(stopped);
    assertFalse(end.contains("requests"), end);
    assertEquals(client.read().status(), FAILED);
  }

  @Test
  public void processIsEndedByTheEventLoopItself() throws Exception {
    start(9000);
    AtomicReference<Thread> loop = new AtomicReference<>();
    Hold stopping = hold(STOPPING, () -> loop.set(Thread.currentThread()));
    stopping.released.countDown();
    AtomicReference<Thread> exiting = new AtomicReference<>();
    CompletableFuture<Void> stopped =
        inBackground(() -> node.stopAndExit(() -> exiting.set(Thread.currentThread())));
    stopping.reached.await();
    advance(4000);
    over(stopped);
    assertSame(exiting.get(), loop.get(), "no thread but this one is in a system call");
  }
}
