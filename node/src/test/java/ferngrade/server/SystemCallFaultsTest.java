package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Errno;
import ferngrade.transport.FaultInjectingChannels;
import ferngrade.transport.FaultInjectingChannels.SystemCall;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against lost jobs, callbacks or announcements, and against ejected workers, while system
 * calls of this machine fail for a limited time.
 */
@Test(timeOut = 30_000)
public class SystemCallFaultsTest extends NodeIntegrationFixture {
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /**
   * The duration of {@link Pattern#FOR_A_WHILE} faults of system calls that send or connect, in ms
   * on the node's clock.
   */
  private static final double OUTAGE_MILLIS = 2000;

  /** The time after a fault within which service must have recovered, in ms on the node's clock. */
  private static final double MAX_RECOVERY_MILLIS = 100;

  /**
   * The number of consecutive accepts that fail in a lasting fault. Netty would pause accepting for
   * one second after each failure.
   */
  private static final int FAILED_ACCEPTS = 5;

  /** Errors caused by this machine, not by the peer. */
  private static final List<Errno> LOCAL_ERRORS =
      List.of(
          Errno.EADDRNOTAVAIL,
          Errno.ENOBUFS,
          Errno.EMFILE,
          Errno.ENFILE,
          Errno.ENOMEM,
          Errno.ENETUNREACH);

  private FaultInjectingChannels faults;

  private enum Pattern {
    ONCE,
    FOR_A_WHILE,
    EVERY_SECOND_CALL
  }

  @BeforeMethod
  public void injectFaults() {
    faults = new FaultInjectingChannels();
    channels = faults;
  }

  @DataProvider
  public Object[][] acceptFaults() {
    List<Object[]> all = new ArrayList<>();
    for (Errno errno :
        List.of(Errno.ECONNABORTED, Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM)) {
      for (Pattern pattern : Pattern.values()) {
        all.add(new Object[] {Purpose.CLIENTS, errno, pattern});
        all.add(new Object[] {Purpose.ADMIN, errno, pattern});
      }
    }
    return all.toArray(Object[][]::new);
  }

  @Test(dataProvider = "acceptFaults")
  public void failedAcceptDelaysClientOnlyByMilliseconds(
      Purpose listener, Errno errno, Pattern pattern) throws Exception {
    start(endpointList(1, "active"), Clock.system());
    InetSocketAddress address = listener == Purpose.ADMIN ? node.adminAddress() : node.address();
    faults.fail(
        listener,
        SystemCall.ACCEPT,
        errno,
        switch (pattern) {
          case ONCE -> FaultInjectingChannels.once();
          case FOR_A_WHILE -> () -> faults.injectedFaults.get() < FAILED_ACCEPTS;
          case EVERY_SECOND_CALL -> FaultInjectingChannels.everySecondCall();
        });
    long startNanos = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      try (RawHttp client = RawHttp.connect(address)) {
        assertEquals(client.write(READY).read().status(), 200);
      }
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    assertTrue(faults.injectedFaults.get() > 0, "no accept has failed");
    assertTrue(millis < 900, "accepts were paused: " + millis + " ms");
  }

  @DataProvider
  public Object[][] listenerFaults() {
    return Stream.of(Purpose.CLIENTS, Purpose.ADMIN)
        .flatMap(
            listener ->
                Stream.of(Errno.EMFILE, Errno.ENFILE, Errno.ENOBUFS, Errno.ENOMEM)
                    .map(errno -> new Object[] {listener, errno}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "listenerFaults")
  public void startsAfterTransientListenerFailure(Purpose listener, Errno errno) throws Exception {
    faults.fail(listener, SystemCall.SOCKET, errno, FaultInjectingChannels.once());
    start(config(discovery.getLocalPort(), endpointList(1, "active")), Clock.system());
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertNotNull(client.write(READY).read());
    }
    assertEquals(faults.injectedFaults.get(), 1);
  }

  @DataProvider
  public Object[][] sendFaults() {
    return localFaults(SystemCall.SOCKET, SystemCall.CONNECT, SystemCall.WRITE);
  }

  @DataProvider
  public Object[][] connectFaults() {
    return localFaults(SystemCall.SOCKET, SystemCall.CONNECT);
  }

  private static Object[][] localFaults(SystemCall... calls) {
    List<Object[]> all = new ArrayList<>();
    for (SystemCall call : calls) {
      for (Errno errno : LOCAL_ERRORS) {
        for (Pattern pattern : Pattern.values()) {
          all.add(new Object[] {call, errno, pattern});
        }
      }
    }
    return all.toArray(Object[][]::new);
  }

  /** Injects failures of a call; returns the end of the fault, in ms on the node's clock. */
  private double fail(Purpose purpose, SystemCall call, Errno errno, Pattern pattern) {
    double faultEnds = pattern == Pattern.FOR_A_WHILE ? now + OUTAGE_MILLIS : now;
    faults.fail(
        purpose,
        call,
        errno,
        switch (pattern) {
          case ONCE -> FaultInjectingChannels.once();
          case FOR_A_WHILE -> () -> now < faultEnds;
          case EVERY_SECOND_CALL -> FaultInjectingChannels.everySecondCall();
        });
    return faultEnds;
  }

  /** Advances the clock past the fault and the time within which service must have recovered. */
  private void advancePastOutage(double faultEnds) throws Exception {
    awaitSettled();
    while (now < faultEnds) {
      advance(MAX_RECOVERY_MILLIS);
      awaitSettled();
    }
    advance(MAX_RECOVERY_MILLIS);
  }

  @Test(dataProvider = "sendFaults")
  public void retriesLocallyFailedSendWithoutEjectingWorkers(
      SystemCall call, Errno errno, Pattern pattern) throws Exception {
    start(endpointList(1, "active"), () -> now);
    double faultEnds = fail(Purpose.WORKERS, call, errno, pattern);
    for (String id : List.of("a", "b", "c")) {
      // Each job uses a new connection, so ONCE affects the first job and EVERY_SECOND_CALL each
      // job.
      boolean affected = id.equals("a") || pattern == Pattern.EVERY_SECOND_CALL;
      serve(id, faultEnds, affected);
      assertNoWorkerEjected();
    }
    assertTrue(faults.injectedFaults.get() > 0, "the call has not failed");
  }

  @Test(dataProvider = "connectFaults")
  public void locallyFailedDiscoveryConnectDoesNotActivateTheStoredList(
      SystemCall call, Errno errno, Pattern pattern) throws Exception {
    double faultEnds = fail(Purpose.DISCOVERY, call, errno, pattern);
    start(config(discovery.getLocalPort(), endpointList(1, "active")), () -> now);
    awaitSettled();
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write(READY).read().status(), 503, "the stored list must not be used");
    }
    advancePastOutage(faultEnds);
    watch = new RawHttp(discovery.accept());
    watch.read();
    watch.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(endpointList(2, "active") + "\n"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      awaitReadyStatus(client, 200);
    }
    assertTrue(faults.injectedFaults.get() > 0, "the call has not failed");
  }

  @Test(dataProvider = "connectFaults")
  public void announcesItsAddressToThePredecessor(SystemCall call, Errno errno, Pattern pattern)
      throws Exception {
    double faultEnds = fail(Purpose.HANDOVER, call, errno, pattern);
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        RawHttp client = startAfterPredecessor(other)) {
      other.setSoTimeout(5_000);
      client.write(READY).read();
      advancePastOutage(faultEnds);
      try (RawHttp announcement = new RawHttp(other.accept())) {
        Message message = announcement.read();
        assertEquals(message.startLine(), "POST /-/sibling HTTP/1.1");
        assertTrue(message.body().endsWith(":" + node.adminAddress().getPort()), message.body());
      }
    }
  }

  @Test(dataProvider = "connectFaults")
  public void relaysCallbackToTheOtherProcess(SystemCall call, Errno errno, Pattern pattern)
      throws Exception {
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        RawHttp caller = startAfterPredecessor(other)) {
      other.setSoTimeout(5_000);
      other.accept().close();
      rejectJoin(other);
      double faultEnds =
          fail(
              Purpose.HANDOVER,
              call,
              errno,
              pattern == Pattern.FOR_A_WHILE ? Pattern.ONCE : pattern);
      String callback = "{\"id\":\"a\",\"from\":\"s-1\"," + DONE + "}";
      caller.write(RawHttp.message("POST /_jobs/news HTTP/1.1", callback));
      advancePastOutage(faultEnds);
      try (RawHttp relayed = new RawHttp(other.accept())) {
        assertEquals(relayed.read().body(), callback);
        relayed.write("HTTP/1.1 204 No Content\r\n\r\n");
      }
      assertEquals(caller.read().status(), 204);
      assertTrue(faults.injectedFaults.get() > 0, "the call has not failed");
    }
  }

  /** Answers the call to join as a process of an earlier release, which does not know it. */
  private static void rejectJoin(ServerSocket predecessor) throws IOException {
    try (RawHttp caller = new RawHttp(predecessor.accept())) {
      assertEquals(caller.read().startLine(), "POST /-/join HTTP/1.1");
      caller.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    }
  }

  /**
   * Starts the node on an inherited socket and connects to it. {@code predecessor} acts as the
   * operators' listener of a process that started earlier.
   */
  private RawHttp startAfterPredecessor(ServerSocket predecessor) throws Exception {
    Path folder = Files.createTempDirectory("handover");
    Files.writeString(
        folder.resolve("ferngrade-admin.txt"), "127.0.0.1:" + predecessor.getLocalPort());
    ServerSocketChannel clients =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    node =
        NodeServer.start(
            config(discovery.getLocalPort(), null),
            new NodeServer.Platform(clients, folder),
            () -> now,
            new RateLimitedLog(() -> now, line -> {}),
            channels);
    return RawHttp.connect(node.address());
  }

  /**
   * Sends one job, which the worker must receive once, within 100 ms after the end of the fault.
   * {@code affected} is true if a system call of this job fails.
   */
  private void serve(String id, double faultEnds, boolean affected) throws Exception {
    try (RawHttp client = RawHttp.connect(node.address())) {
      int injected = faults.injectedFaults.get();
      client.write(RawHttp.message(jobHead("POST /api", id, "order"), ""));
      awaitSettled();
      // A connect continues after awaitSettled() and fails at a time that depends on the machine.
      while (affected && faults.injectedFaults.get() == injected) {
        Thread.onSpinWait();
      }
      if (faults.injectedFaults.get() > injected) {
        advancePastOutage(faultEnds);
      }
      try (RawHttp workerConnection = acceptConnectionWithJob(id)) {
        workerConnection.write(ACCEPTED);
        awaitSettled();
        assertEquals(sendCallback(id, DONE), 204);
        Message answer = client.read();
        assertNotNull(answer);
        assertEquals(answer.status(), 200);
      }
    }
  }

  /**
   * Returns the connection that carries this job. Skips earlier connections on which the write has
   * failed.
   */
  private RawHttp acceptConnectionWithJob(String id) throws Exception {
    while (true) {
      RawHttp accepted = new RawHttp(worker.accept());
      Message job = accepted.read();
      if (job != null) {
        assertEquals(job.headers().get("Req-Id"), id);
        return accepted;
      }
      accepted.close();
    }
  }

  private void assertNoWorkerEjected() throws Exception {
    try (RawHttp operator = RawHttp.connect(node.adminAddress())) {
      String metrics = operator.write("GET /-/metrics HTTP/1.1\r\n\r\n").read().body();
      assertTrue(metrics.contains("menu_workers_excluded=0\n"), metrics);
      assertTrue(metrics.contains("failed.order=0\n"), metrics);
    }
  }

  @Test
  public void transfersWholeRequestsInOneByteReadsAndWrites() throws Exception {
    faults.oneByteTransfers = true;
    start(endpointList(1, "active"), () -> now);
    serve("a", now, false);
    serve("b", now, false);
    assertNoWorkerEjected();
  }
}
