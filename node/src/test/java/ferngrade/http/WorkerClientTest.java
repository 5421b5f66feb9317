package ferngrade.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.http.RawHttp.Message;
import ferngrade.node.JobRequest;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.node.WorkerTransport;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Dialer;
import ferngrade.transport.Errno;
import ferngrade.transport.FaultInjectingChannels;
import ferngrade.transport.FaultInjectingChannels.SystemCall;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the requests of the worker client with a scripted worker and a simulated clock. */
@Test(timeOut = 30_000)
public class WorkerClientTest {
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

  private static final int SMALL_BUFFER_BYTES = 2048;

  private BlockingQueue<String> events;
  private MultiThreadIoEventLoopGroup group;
  private EventLoop loop;
  private volatile double now;
  private volatile boolean mayStart;
  private ServerSocket worker;
  private Timers timers;
  private ConnectionPool pool;
  private WorkerClient client;
  private FaultInjectingChannels faults;

  @BeforeMethod
  public void start() throws Exception {
    events = new LinkedBlockingQueue<>();
    faults = new FaultInjectingChannels();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    now = 0;
    mayStart = true;
    worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(10_000);
    loop.submit(
            () -> {
              timers = new Timers(() -> now, (millis, run) -> {});
              pool = new ConnectionPool(() -> now, timers, 60_000, 2);
              client =
                  new WorkerClient(
                      group,
                      () -> now,
                      timers,
                      pool,
                      100,
                      new RateLimitedLog(() -> now, line -> {}),
                      faults);
            })
        .get();
  }

  /** Advances the clock; both the test and the event loop may call this method. */
  private synchronized void advance(double millis) {
    now += millis;
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    worker.close();
    // Waits for the end of the event loop, so that no event of this test reaches the queue of the
    // next one.
    group.shutdownGracefully(0, 1000, TimeUnit.MILLISECONDS).await();
  }

  @Test
  public void deletesAnAcceptedJobAndClosesTheConnectionOfOneNotAccepted() throws Exception {
    WorkerTransport.AttemptHandle attempt = send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    first.write(ACCEPTED);
    awaitIdleConnection();
    advance(100);
    loop.submit(() -> attempt.cancel(() -> {})).get();
    Message delete = first.read();
    assertEquals(delete.startLine(), "DELETE /jobs/a HTTP/1.1");
    first.write("HTTP/1.1 404 Unknown\r\nContent-Length: 0\r\n\r\n");
    awaitIdleConnection();
    advance(100);
    WorkerTransport.AttemptHandle waiting = send("b");
    assertEquals(first.read().headers().get("Req-Id"), "b");
    loop.submit(() -> waiting.cancel(() -> {})).get();
    assertNull(first.read());
  }

  @Test
  public void closesAnIdleConnectionWellBeforeTheWorkersLimit() throws Exception {
    send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    first.write(ACCEPTED);
    awaitIdleConnection();
    now = 30_000;
    loop.submit(timers::run).get();
    assertNull(first.read());
  }

  @Test
  public void learnsTheShorterIdleLimitOfAWorkerThatClosesEarly() throws Exception {
    send("a");
    try (RawHttp first = new RawHttp(worker.accept())) {
      first.read();
      first.write(ACCEPTED);
      awaitIdleConnection();
      now = 400;
    }
    while (loop.submit(pool::idle).get() > 0) {
      Thread.onSpinWait();
    }
    send("b");
    RawHttp second = new RawHttp(worker.accept());
    second.read();
    second.write(ACCEPTED);
    awaitIdleConnection();
    // The first connection lasted 400 ms, so this one is not reused after 200 ms.
    now = 650;
    send("c");
    RawHttp third = new RawHttp(worker.accept());
    assertEquals(third.read().headers().get("Req-Id"), "c");
    assertNull(second.read());
    third.write(ACCEPTED);
    awaitIdleConnection();
    now = 700;
    send("d");
    assertEquals(third.read().headers().get("Req-Id"), "d");
  }

  @Test
  public void reportsResetWhenTheConnectionEndsBeforeThe202() throws Exception {
    send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    first.close();
    assertEquals(events.take(), "written");
    assertEquals(events.take(), "RESET");
  }

  /** Guards against missing a 202 that has arrived but that the event loop has not read yet. */
  @Test
  public void readsAPending202FromTheSocket() throws Exception {
    WorkerTransport.AttemptHandle attempt = send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    int idle =
        loop.submit(
                () -> {
                  first.write(ACCEPTED);
                  attempt.readPending();
                  return pool.idle();
                })
            .get();
    assertEquals(idle, 1);
  }

  /**
   * Guards against a timeout of a health check whose answer has arrived but has not been read yet.
   */
  @Test
  public void readsAPendingAnswerBeforeAHealthCheckTimesOut() throws Exception {
    InetSocketAddress address =
        new InetSocketAddress(worker.getInetAddress(), worker.getLocalPort());
    loop.submit(() -> client.check(address, (outcome, report) -> events.add(outcome.name()))).get();
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    loop.submit(
            () -> {
              first.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
              advance(1000);
              timers.run();
              return null;
            })
        .get();
    assertEquals(events.take(), "OK");
  }

  @Test
  public void reportsConnectFailedWhenTheConnectTimesOut() throws Exception {
    // Simulates a lost machine: the accept queue of the listener is full, so that connects are not
    // answered.
    List<Socket> fillers = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      fillers.add(new Socket(worker.getInetAddress(), worker.getLocalPort()));
    }
    send("a");
    assertEquals(events.take(), "CONNECT_FAILED");
    for (Socket connection : fillers) {
      connection.close();
    }
  }

  @Test
  public void writesNothingWhenTheAttemptIsNoLongerWanted() throws Exception {
    mayStart = false;
    send("a");
    RawHttp first = new RawHttp(worker.accept());
    assertEquals(events.take(), "NEVER_SENT");
    mayStart = true;
    awaitIdleConnection();
    advance(100);
    send("b");
    assertEquals(first.read().headers().get("Req-Id"), "b");
  }

  /**
   * The worker's machine resets the connection while the request is being written; the worker
   * cannot have started the job.
   */
  @Test
  public void reportsConnectFailedForAResetWhileTheRequestIsWritten() throws Exception {
    faults.sendBufferBytes = SMALL_BUFFER_BYTES;
    try (ServerSocket smallBufferWorker = new ServerSocket()) {
      smallBufferWorker.setReceiveBufferSize(SMALL_BUFFER_BYTES);
      smallBufferWorker.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
      JobRequest large =
          new JobRequest("a", "POST", "/api", null, new byte[HttpFrontend.MAX_BODY_BYTES]);
      InetSocketAddress address = (InetSocketAddress) smallBufferWorker.getLocalSocketAddress();
      loop.submit(() -> client.send(large, address, 1000, new RecordingListener())).get();
      Socket connection = smallBufferWorker.accept();
      assertEquals(connection.getInputStream().read(), 'P', "the first byte of the request");
      connection.setSoLinger(true, 0);
      connection.close();
      assertEquals(events.take(), "CONNECT_FAILED");
    }
  }

  /**
   * The worker closes the idle connection on which a cancellation is being sent; the cancellation
   * is retried once.
   */
  @Test
  public void retriesADeleteOnANewConnectionWhenTheIdleOneCloses() throws Exception {
    WorkerTransport.AttemptHandle attempt = send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    first.write(ACCEPTED);
    awaitIdleConnection();
    advance(100);
    loop.submit(
            () -> {
              first.end();
              attempt.cancel(() -> events.add("deleted"));
              return null;
            })
        .get();
    assertEquals(new RawHttp(worker.accept()).read().startLine(), "DELETE /jobs/a HTTP/1.1");
    assertEquals(events.take(), "written");
    assertEquals(events.take(), "deleted");
    assertTrue(events.isEmpty(), "once");
  }

  /**
   * The worker reads a cancellation on a reused connection and closes the connection without an
   * answer.
   */
  @Test
  public void retriesADeleteThatWasReadButNotAnswered() throws Exception {
    WorkerTransport.AttemptHandle attempt = send("a");
    RawHttp first = new RawHttp(worker.accept());
    first.read();
    first.write(ACCEPTED);
    awaitIdleConnection();
    advance(100);
    loop.submit(() -> attempt.cancel(() -> events.add("deleted"))).get();
    assertEquals(first.read().startLine(), "DELETE /jobs/a HTTP/1.1");
    first.end();
    assertEquals(new RawHttp(worker.accept()).read().startLine(), "DELETE /jobs/a HTTP/1.1");
    assertEquals(events.take(), "written");
    assertEquals(events.take(), "deleted");
    assertTrue(events.isEmpty(), "once");
  }

  /** A fault of the worker on an idle connection. */
  private interface IdleConnectionFault {
    void apply(Socket connection) throws IOException;
  }

  private static void reset(Socket connection) throws IOException {
    connection.setSoLinger(true, 0);
    connection.close();
  }

  @DataProvider
  public Object[][] idleConnectionFaults() {
    return new Object[][] {
      {"closed", (IdleConnectionFault) Socket::close},
      {"reset", (IdleConnectionFault) WorkerClientTest::reset},
      {"half closed", (IdleConnectionFault) Socket::shutdownOutput},
      {
        "answered again",
        (IdleConnectionFault)
            connection -> connection.getOutputStream().write(ACCEPTED.getBytes(US_ASCII))
      }
    };
  }

  /**
   * Guards against writing a job to a connection whose end has arrived but has not been read by the
   * event loop yet.
   */
  @Test(dataProvider = "idleConnectionFaults", timeOut = 30_000)
  public void writesNoJobToAnIdleConnectionWithAFault(String description, IdleConnectionFault fault)
      throws Exception {
    send("a");
    Socket first = worker.accept();
    RawHttp idle = new RawHttp(first);
    idle.read();
    idle.write(ACCEPTED);
    awaitIdleConnection();
    assertEquals(events.take(), "written");
    advance(100);
    loop.submit(
            () -> {
              fault.apply(first);
              begin("b");
              return null;
            })
        .get();
    RawHttp second = new RawHttp(worker.accept());
    assertEquals(second.read().headers().get("Req-Id"), "b", description);
    second.write(ACCEPTED);
    awaitIdleConnection();
    assertEquals(events.take(), "written");
    assertTrue(events.isEmpty(), description + ": " + events);
    first.close();
  }

  /**
   * The remaining time of an attempt when its connection is up, in ms, and the deadline header sent
   * to the worker.
   */
  @DataProvider
  public Object[][] remainingTimes() {
    return new Object[][] {{1, "1m"}, {20, "15m"}, {150, "140m"}, {1000, "990m"}};
  }

  @Test(dataProvider = "remainingTimes")
  public void sendsADeadlineBelowTheRemainingTime(int remaining, String header) throws Exception {
    sendAndAdvance(1000 - remaining);
    assertEquals(new RawHttp(worker.accept()).read().headers().get("Req-Deadline"), header);
  }

  @Test
  public void doesNotStartAnAttemptWhoseTimeoutExpiredDuringTheDial() throws Exception {
    sendAndAdvance(1000);
    assertEquals(events.take(), "NEVER_SENT");
  }

  /**
   * Sends an attempt and advances the clock before the event loop can notice that the connection is
   * up.
   */
  private void sendAndAdvance(double millis) throws Exception {
    loop.submit(
            () -> {
              begin("a");
              advance(millis);
            })
        .get();
  }

  @Test
  public void opensNoConnectionsBeyondTheLimit() throws Exception {
    // Starts all attempts in one turn: no connection is up yet when the third attempt is rejected.
    loop.submit(() -> List.of("a", "b", "c").forEach(this::begin)).get();
    assertEquals(events.take(), "NEVER_SENT");
    assertEquals(events.take(), "written");
    assertEquals(events.take(), "written");
  }

  @DataProvider
  public Object[][] transferFaults() {
    return new Object[][] {
      {SystemCall.READ, Errno.ETIMEDOUT, List.of("written", "RESET")},
      {SystemCall.READ, Errno.EHOSTUNREACH, List.of("written", "RESET")},
      {SystemCall.READ, Errno.ECONNRESET, List.of("written", "RESET")},
      // The job may have run, but the worker is not responsible for the fault.
      {SystemCall.READ, Errno.ENOMEM, List.of("written", "CANCELLED")},
      {SystemCall.READ, Errno.ENOBUFS, List.of("written", "CANCELLED")},
      {SystemCall.WRITE, Errno.ETIMEDOUT, List.of("CONNECT_FAILED")},
      {SystemCall.WRITE, Errno.EHOSTUNREACH, List.of("CONNECT_FAILED")},
    };
  }

  @Test(dataProvider = "transferFaults")
  public void endsTheAttemptWhenASystemCallFails(
      SystemCall call, Errno errno, List<String> expectedEvents) throws Exception {
    faults.fail(Purpose.WORKERS, call, errno, FaultInjectingChannels.once());
    send("a");
    RawHttp first = new RawHttp(worker.accept());
    if (call == SystemCall.READ) {
      first.read();
      first.write(ACCEPTED);
    }
    for (String event : expectedEvents) {
      assertEquals(events.take(), event);
    }
  }

  @DataProvider
  public Object[][] dialCalls() {
    return new Object[][] {{SystemCall.SOCKET}, {SystemCall.CONNECT}};
  }

  @Test(dataProvider = "dialCalls")
  public void reportsNeverSentWhenAHealthCheckFailsLocally(SystemCall call) throws Exception {
    faults.fail(Purpose.WORKERS, call, Errno.EMFILE, () -> true);
    InetSocketAddress address =
        new InetSocketAddress(worker.getInetAddress(), worker.getLocalPort());
    loop.submit(() -> client.check(address, (outcome, report) -> events.add(outcome.name()))).get();
    advanceUntilEvent();
    assertEquals(events.take(), "NEVER_SENT");
  }

  @Test(dataProvider = "dialCalls")
  public void reportsNeverSentWhenAnAttemptFailsLocallyUntilItsTimeout(SystemCall call)
      throws Exception {
    faults.fail(Purpose.WORKERS, call, Errno.EMFILE, () -> true);
    WorkerTransport.AttemptHandle attempt = send("a");
    advanceUntilEvent();
    assertEquals(events.take(), "NEVER_SENT");
    assertTrue(attempt.delayedLocally());
    assertTrue(
        faults.injectedFaults.get() <= 1 + 1000 / Dialer.BACKOFF_MILLIS,
        "attempts within 1000 ms: " + faults.injectedFaults);
  }

  @Test
  public void doesNotRetryTheDialOfAnAttemptNoLongerWanted() throws Exception {
    faults.fail(Purpose.WORKERS, SystemCall.CONNECT, Errno.ENOBUFS, FaultInjectingChannels.once());
    mayStart = false;
    send("a");
    advanceUntilEvent();
    assertEquals(events.take(), "NEVER_SENT");
    assertEquals(faults.injectedFaults.get(), 1);
  }

  /** Advances the clock by one backoff at a time until the attempt or check reports an event. */
  private void advanceUntilEvent() throws Exception {
    while (events.isEmpty()) {
      loop.submit(
              () -> {
                advance(Dialer.BACKOFF_MILLIS);
                timers.run();
              })
          .get();
    }
  }

  private WorkerTransport.AttemptHandle send(String id) throws Exception {
    return loop.submit(() -> begin(id)).get();
  }

  private WorkerTransport.AttemptHandle begin(String id) {
    JobRequest job = new JobRequest(id, "POST", "/api", null, new byte[0]);
    InetSocketAddress address =
        new InetSocketAddress(worker.getInetAddress(), worker.getLocalPort());
    return client.send(job, address, 1000, new RecordingListener());
  }

  /** Waits until the worker's last answer has been read and the connection is idle. */
  private void awaitIdleConnection() throws Exception {
    while (loop.submit(pool::idle).get() == 0) {
      Thread.onSpinWait();
    }
  }

  private final class RecordingListener implements WorkerTransport.Listener {
    @Override
    public boolean mayStart() {
      return mayStart;
    }

    @Override
    public void written() {
      events.add("written");
    }

    @Override
    public void accepted() {}

    @Override
    public void ended(AttemptOutcome outcome, LoadReport report) {
      events.add(outcome.name());
    }
  }
}
