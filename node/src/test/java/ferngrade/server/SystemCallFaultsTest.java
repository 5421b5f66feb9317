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
 * A whole node whose system calls fail for a while: nothing that it owes is lost, and no worker
 * pays for it.
 */
@Test(timeOut = 30_000)
public class SystemCallFaultsTest extends NodeIntegrationFixture {
  private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /**
   * How long a fault lasts that lasts, ms on the node's clock, and how soon after it service has to
   * be back.
   */
  private static final double OUTAGE = 2000;

  private static final double SERVICE_BACK = 100;

  /**
   * Accepts that fail in a row where the fault lasts: Netty would pause for a second after each.
   */
  private static final int FAILED_ACCEPTS = 5;

  private static final List<Errno> LOCAL =
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
  public void failedAcceptDelaysItsCallerByMillisecondsOnly(
      Purpose listener, Errno errno, Pattern pattern) throws Exception {
    start(list(1, "active"), Clock.system());
    InetSocketAddress address = listener == Purpose.ADMIN ? node.adminAddress() : node.address();
    faults.fail(
        listener,
        SystemCall.ACCEPT,
        errno,
        switch (pattern) {
          case ONCE -> FaultInjectingChannels.once();
          case FOR_A_WHILE -> () -> faults.raised.get() < FAILED_ACCEPTS;
          case EVERY_SECOND_CALL -> FaultInjectingChannels.everySecondCall();
        });
    long began = System.nanoTime();
    for (int i = 0; i < 3; i++) {
      try (RawHttp client = RawHttp.to(address)) {
        assertEquals(client.write(READY).read().status(), 200);
      }
    }
    long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began);
    assertTrue(faults.raised.get() > 0, "an accept has failed");
    assertTrue(millis < 900, "no pause of a second: " + millis + " ms");
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
  public void nodeWhoseListenersCannotBeOpenedForAMomentStarts(Purpose listener, Errno errno)
      throws Exception {
    faults.fail(listener, SystemCall.SOCKET, errno, FaultInjectingChannels.once());
    start(config(discovery.getLocalPort(), list(1, "active")), Clock.system());
    try (RawHttp client = RawHttp.to(node.address())) {
      assertNotNull(client.write(READY).read());
    }
    assertEquals(faults.raised.get(), 1);
  }

  @DataProvider
  public Object[][] sendFaults() {
    return localFaults(SystemCall.SOCKET, SystemCall.CONNECT, SystemCall.WRITE);
  }

  @DataProvider
  public Object[][] dialFaults() {
    return localFaults(SystemCall.SOCKET, SystemCall.CONNECT);
  }

  private static Object[][] localFaults(SystemCall... calls) {
    List<Object[]> all = new ArrayList<>();
    for (SystemCall call : calls) {
      for (Errno errno : LOCAL) {
        for (Pattern pattern : Pattern.values()) {
          all.add(new Object[] {call, errno, pattern});
        }
      }
    }
    return all.toArray(Object[][]::new);
  }

  /** Has the call fail in this pattern, and says when that is over. */
  private double fail(Purpose purpose, SystemCall call, Errno errno, Pattern pattern) {
    double end = pattern == Pattern.FOR_A_WHILE ? now + OUTAGE : now;
    faults.fail(
        purpose,
        call,
        errno,
        switch (pattern) {
          case ONCE -> FaultInjectingChannels.once();
          case FOR_A_WHILE -> () -> now < end;
          case EVERY_SECOND_CALL -> FaultInjectingChannels.everySecondCall();
        });
    return end;
  }

  /**
   * Returns once the outage is over and the node has had the time in which service has to be back.
   */
  private void passOutage(double faultEnds) throws Exception {
    settled();
    while (now < faultEnds) {
      advance(SERVICE_BACK);
      settled();
    }
    advance(SERVICE_BACK);
  }

  @Test(dataProvider = "sendFaults")
  public void sendThatThisMachineFailsIsMadeAgainAndNoWorkerIsEjected(
      SystemCall call, Errno errno, Pattern pattern) throws Exception {
    start(list(1, "active"), () -> now);
    double end = fail(Purpose.WORKERS, call, errno, pattern);
    for (String id : List.of("a", "b", "c")) {
      // A job has a connection of its own: in the first pattern the first job's call is struck, in
      // the last one each job's.
      boolean struck = id.equals("a") || pattern == Pattern.EVERY_SECOND_CALL;
      serve(id, end, struck);
      assertNoWorkerEjected();
    }
    assertTrue(faults.raised.get() > 0, "the call has failed");
  }

  @Test(dataProvider = "dialFaults")
  public void dialOfDiscoveryThatThisMachineFailsDoesNotMakeAnOldListCount(
      SystemCall call, Errno errno, Pattern pattern) throws Exception {
    double end = fail(Purpose.DISCOVERY, call, errno, pattern);
    start(config(discovery.getLocalPort(), list(1, "active")), () -> now);
    settled();
    try (RawHttp client = RawHttp.to(node.address())) {
      assertEquals(client.write(READY).read().status(), 503, "the old list does not count");
    }
    passOutage(end);
    watch = new RawHttp(discovery.accept());
    watch.read();
    watch.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(2, "active") + "\n"));
    try (RawHttp client = RawHttp.to(node.address())) {
      awaitReadiness(client, 200);
    }
    assertTrue(faults.raised.get() > 0, "the call has failed");
  }

  @Test(dataProvider = "dialFaults")
  public void processOnASocketHandedOverTellsTheOtherOneWhereItIs(
      SystemCall call, Errno errno, Pattern pattern) throws Exception {
    double end = fail(Purpose.HANDOVER, call, errno, pattern);
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        RawHttp client = startBeside(other)) {
      other.setSoTimeout(5_000);
      client.write(READY).read();
      passOutage(end);
      try (RawHttp told = new RawHttp(other.accept())) {
        Message message = told.read();
        assertEquals(message.start(), "POST /-/sibling HTTP/1.1");
        assertTrue(message.body().endsWith(":" + node.adminAddress().getPort()), message.body());
      }
    }
  }

  @Test(dataProvider = "dialFaults")
  public void callBackForTheOtherProcessIsHandedOn(SystemCall call, Errno errno, Pattern pattern)
      throws Exception {
    try (ServerSocket other = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        RawHttp caller = startBeside(other)) {
      other.setSoTimeout(5_000);
      other.accept().close();
      double end =
          fail(
              Purpose.HANDOVER,
              call,
              errno,
              pattern == Pattern.FOR_A_WHILE ? Pattern.ONCE : pattern);
      String news = "{\"id\":\"a\",\"from\":\"s-1\"," + DONE + "}";
      caller.write(RawHttp.message("POST /_jobs/news HTTP/1.1", news));
      passOutage(end);
      try (RawHttp relayed = new RawHttp(other.accept())) {
        assertEquals(relayed.read().body(), news);
        relayed.write("HTTP/1.1 204 No Content\r\n\r\n");
      }
      assertEquals(caller.read().status(), 204);
      assertTrue(faults.raised.get() > 0, "the call has failed");
    }
  }

  /**
   * Starts the node on a socket handed over, beside an earlier process at this address; opens a
   * connection to it.
   */
  private RawHttp startBeside(ServerSocket other) throws Exception {
    Path folder = Files.createTempDirectory("handover");
    Files.writeString(folder.resolve("ferngrade-admin.txt"), "127.0.0.1:" + other.getLocalPort());
    ServerSocketChannel clients =
        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    node =
        NodeServer.start(
            config(discovery.getLocalPort(), null),
            new NodeServer.Platform(clients, folder),
            () -> now,
            new RateLimitedLog(() -> now, line -> {}),
            channels);
    return RawHttp.to(node.address());
  }

  /** Brings one job, which the worker gets once, within 100 ms of the end of the fault. */
  private void serve(String id, double faultEnds, boolean struck) throws Exception {
    try (RawHttp client = RawHttp.to(node.address())) {
      int raised = faults.raised.get();
      client.write(RawHttp.message(job("POST /api", id, "order"), ""));
      settled();
      // A dial goes on behind what the story has settled: how soon it fails is the machine's
      // affair.
      while (struck && faults.raised.get() == raised) {
        Thread.onSpinWait();
      }
      if (faults.raised.get() > raised) {
        passOutage(faultEnds);
      }
      try (RawHttp worked = connectionWith(id)) {
        worked.write(TAKEN);
        settled();
        assertEquals(callBack(id, DONE), 204);
        Message answer = client.read();
        assertNotNull(answer);
        assertEquals(answer.status(), 200);
      }
    }
  }

  /** The node's connection that brings this job; on those before it, a write has failed. */
  private RawHttp connectionWith(String id) throws Exception {
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
    try (RawHttp operator = RawHttp.to(node.adminAddress())) {
      String metrics = operator.write("GET /-/metrics HTTP/1.1\r\n\r\n").read().body();
      assertTrue(metrics.contains("menu_workers_excluded=0\n"), metrics);
      assertTrue(metrics.contains("failed.order=0\n"), metrics);
    }
  }

  @Test
  public void readsAndWritesOfOneByteEachCarryWholeRequests() throws Exception {
    faults.oneByte = true;
    start(list(1, "active"), () -> now);
    serve("a", now, false);
    serve("b", now, false);
    assertNoWorkerEjected();
  }
}
