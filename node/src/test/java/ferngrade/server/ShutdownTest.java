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
 * Guards against a shutdown that outlasts the earliest kill or leaves a request that was read
 * without an answer, whatever workers and clients do. The clock only moves when the test advances
 * it.
 */
@Test(timeOut = 30_000)
public class ShutdownTest extends NodeIntegrationFixture {
  private static final double PAUSE_MILLIS = 150;
  private static final double LATE_IN_GRACE_PERIOD_MILLIS = 500;
  private static final int REJECTED = 503;
  private static final int FAILED = 502;
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String STOPPING_LINE = "stopping";
  private static final String NO_MORE_JOBS_LINE = "no more jobs are accepted";
  private static final String SHUTDOWN_ENDS_LINE = "shutdown ends";
  private static final List<String> CLASSES = List.of("order", "plan", "draft");

  private final Map<String, LoopBlock> blocksByLine = new ConcurrentHashMap<>();

  /** The log line at the end of the shutdown; null before. */
  private volatile String endLine;

  /** All connections of the test's clients and its worker, which stay open until the test ends. */
  private final List<RawHttp> connections = new ArrayList<>();

  /** Blocks the event loop at a log line until the test releases it. */
  private record LoopBlock(Runnable onReached, CountDownLatch reached, CountDownLatch released) {}

  /** The behavior of the worker and the resulting status of the answer to its clients. */
  private enum Worker {
    ACCEPTS_JOBS_AND_HANGS(FAILED),
    READS_JOBS_AND_HANGS(FAILED),
    ACCEPTS_NO_CONNECTION(REJECTED);

    private final int status;

    Worker(int status) {
      this.status = status;
    }
  }

  private LoopBlock blockLoopAt(String line) {
    return blockLoopAt(line, () -> {});
  }

  private LoopBlock blockLoopAt(String line, Runnable onReached) {
    LoopBlock block = new LoopBlock(onReached, new CountDownLatch(1), new CountDownLatch(1));
    blocksByLine.put(line, block);
    return block;
  }

  private void onLogLine(String line) {
    endLine = line.startsWith(SHUTDOWN_ENDS_LINE) ? line : endLine;
    LoopBlock block = blocksByLine.remove(line);
    if (block != null) {
      block.onReached.run();
      block.reached.countDown();
      try {
        block.released.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  @AfterMethod(alwaysRun = true, timeOut = 10_000)
  @Override
  public void tearDown() throws Exception {
    for (RawHttp connection : connections) {
      connection.close();
    }
    connections.clear();
    blocksByLine.clear();
    super.tearDown();
  }

  private RawHttp connect() throws IOException {
    RawHttp client = RawHttp.connect(node.address());
    connections.add(client);
    return client;
  }

  private void start(double deadline) throws Exception {
    start(
        endpointList(1, "active"),
        config(discovery.getLocalPort(), null, "push", deadline),
        () -> now,
        this::onLogLine);
  }

  private static String request(String id, String jobClass, double deadline) {
    return RawHttp.message(
        jobHead("POST /api", id, jobClass).replace("9000m", (int) deadline + "m")
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

  /** Opens a client connection that has received one answer and is idle. */
  private RawHttp knownClient(String id) throws IOException {
    RawHttp client = connect().write(request(id, "order", 9000));
    readJob(ACCEPTED);
    sendCallback(id, DONE);
    assertEquals(client.read().status(), 200);
    return client;
  }

  /** A task that may be interrupted. */
  @FunctionalInterface
  private interface InterruptibleTask {
    void run() throws InterruptedException;
  }

  private static CompletableFuture<Void> inBackground(InterruptibleTask task) {
    return CompletableFuture.runAsync(
        () -> {
          try {
            task.run();
          } catch (InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
          }
        });
  }

  /** Stops the node, pauses its event loop for {@code pauseMillis}, and returns. */
  private CompletableFuture<Void> stopInBackground(double grace, double pauseMillis)
      throws InterruptedException {
    LoopBlock stopping = blockLoopAt(STOPPING_LINE);
    CompletableFuture<Void> stopped = inBackground(() -> node.stop(grace));
    stopping.reached.await();
    advance(pauseMillis);
    stopping.released.countDown();
    return stopped;
  }

  private static void awaitStopped(CompletableFuture<Void> stopped) throws Exception {
    stopped.get(5, TimeUnit.SECONDS);
  }

  /** Fills the accept queue of the worker's listener, so that connects hang. */
  private List<Socket> fillAcceptQueue() throws IOException {
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
            workerBehavior ->
                Stream.of(
                    new Object[] {workerBehavior, 150, 850, false},
                    new Object[] {workerBehavior, 1000, 1700, true},
                    new Object[] {workerBehavior, 4000, 3700, false},
                    new Object[] {workerBehavior, 10_000, 3700, true}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "workersThatHang")
  public void answersAllRequestsAndStopsBeforeTheEarliestKill(
      Worker worker, int deadline, int killMillis, boolean paused) throws Exception {
    List<Socket> queuedConnections =
        worker == Worker.ACCEPTS_NO_CONNECTION ? fillAcceptQueue() : List.of();
    start(deadline);
    double signalTime = now;
    List<RawHttp> clients = new ArrayList<>();
    for (String jobClass : CLASSES) {
      clients.add(connect().write(request(jobClass, jobClass, deadline)));
      if (worker != Worker.ACCEPTS_NO_CONNECTION) {
        readJob(worker == Worker.ACCEPTS_JOBS_AND_HANGS ? ACCEPTED : "");
      }
    }
    RawHttp idle = connect();
    RawHttp late = connect();
    awaitSettled();
    CompletableFuture<Void> stopped =
        stopInBackground(Double.POSITIVE_INFINITY, paused ? PAUSE_MILLIS : 0);
    now = signalTime + LATE_IN_GRACE_PERIOD_MILLIS;
    late.write(request("late", "order", deadline));
    awaitSettled();

    now = signalTime + killMillis - PAUSE_MILLIS;
    for (RawHttp client : clients) {
      assertEquals(client.read().status(), worker.status);
      assertNull(client.read(), "closed");
    }
    int lateStatus = late.read().status();
    assertTrue(
        lateStatus == worker.status || lateStatus == REJECTED, "late in the grace: " + lateStatus);
    assertNull(late.read(), "closed");
    // Clients that keep their connections open, or continue to send, do not delay the shutdown.
    assertNull(idle.write(request("crossing", "order", deadline)).read(), "closed");
    awaitStopped(stopped);
    for (Socket queued : queuedConnections) {
      queued.close();
    }
  }

  @Test
  public void closesWithoutResetWhenRequestCrossesTheShutdown() throws Exception {
    start(9000);
    RawHttp idle = knownClient("known");
    RawHttp sender = knownClient("sending");
    LoopBlock noMoreJobs = blockLoopAt(NO_MORE_JOBS_LINE);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    noMoreJobs.reached.await();
    idle.write(request("crossing", "order", 9000));
    noMoreJobs.released.countDown();
    assertNull(idle.read(), "closed");
    idle.write(request("behind", "order", 9000));
    assertNotReset(idle);
    for (int i = 0; i < 100; i++) {
      sender.write(request("more" + i, "order", 9000));
    }
    advance(4000);
    awaitStopped(stopped);
    assertNull(
        sender.read(), "closed without a reset, though no input was read before the process ended");
    worker.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, worker::accept);
  }

  /**
   * Asserts that a connection which the node has shut down is not reset: a reset would make these
   * writes fail.
   */
  private static void assertNotReset(RawHttp client) throws IOException {
    for (int i = 0; i < 10; i++) {
      assertNull(client.write("more").read(), "not reset");
    }
  }

  @Test
  public void answersPipelinedRequestsWhenTheNodeStops() throws Exception {
    start(9000);
    RawHttp client = connect();
    client.write(
        request("a", "order", 9000) + request("b", "draft", 9000) + request("c", "order", 9000));
    readJob(ACCEPTED);
    awaitSettled();
    LoopBlock noMoreJobs = blockLoopAt(NO_MORE_JOBS_LINE);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    noMoreJobs.reached.await();
    noMoreJobs.released.countDown();
    sendCallback("a", DONE);
    assertEquals(client.read().body(), "soup");
    assertEquals(client.read().status(), REJECTED);
    RawHttp.Message last = client.read();
    assertEquals(last.status(), REJECTED);
    assertEquals(last.headers().get("Connection"), "close");
    assertNull(client.read());
    advance(4000);
    awaitStopped(stopped);
  }

  @Test
  public void rejectsPartialRequestBeforeTheProcessEnds() throws Exception {
    start(150);
    double signalTime = now;
    String request = request("half", "order", 150);
    RawHttp half = connect().write(request.substring(0, request.length() - 2));
    awaitSettled();
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    now = signalTime + 850 - PAUSE_MILLIS;
    assertEquals(half.read().status(), REJECTED);
    assertNull(half.read(), "closed");
    awaitStopped(stopped);
  }

  /** Guards against a paused process that exits before it has written outstanding answers. */
  @Test
  public void writesAnswersThatAreDueInTheLastTurn() throws Exception {
    start(9000);
    RawHttp client = connect().write(request("a", "order", 9000));
    readJob(ACCEPTED);
    double signalTime = now;
    LoopBlock noMoreJobs = blockLoopAt(NO_MORE_JOBS_LINE);
    CompletableFuture<Void> stopped = stopInBackground(0, 0);
    noMoreJobs.reached.await();
    noMoreJobs.released.countDown();
    awaitSettled();
    now = signalTime + 3700 - PAUSE_MILLIS;
    awaitStopped(stopped);
    assertFalse(endLine.contains("requests"), endLine);
    assertEquals(client.read().status(), FAILED);
  }

  @Test
  public void eventLoopThreadEndsTheProcess() throws Exception {
    start(9000);
    AtomicReference<Thread> loop = new AtomicReference<>();
    LoopBlock stopping = blockLoopAt(STOPPING_LINE, () -> loop.set(Thread.currentThread()));
    AtomicReference<Thread> exiting = new AtomicReference<>();
    CompletableFuture<Void> stopped =
        inBackground(() -> node.stopAndExit(() -> exiting.set(Thread.currentThread())));
    stopping.reached.await();
    // The loop waits meanwhile, since it reads the clock twice for the delay of a timer.
    advance(4000);
    stopping.released.countDown();
    awaitStopped(stopped);
    assertSame(exiting.get(), loop.get(), "the process was not ended by the event loop thread");
  }
}
