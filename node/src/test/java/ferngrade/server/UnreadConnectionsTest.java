package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.config.SharedRecordCodec;
import ferngrade.http.ConnectionLimits;
import ferngrade.http.RawHttp;
import ferngrade.node.FaultInjectingFileOperations;
import ferngrade.node.FaultInjectingFileOperations.Operation;
import ferngrade.node.MaintenanceEntry;
import ferngrade.transport.PendingReads;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against closing connections because of a connection limit or a timeout while a delayed
 * event loop has not read a whole request that has arrived on them.
 */
@Test(timeOut = 30_000)
public class UnreadConnectionsTest extends BlockedLoopFixture {
  private static final String TAKEN_OUT_LINE = "menu worker s-1 taken out by operators";
  private static final double CLIENT_TIMEOUT_MILLIS = 1500;
  private static final double CALL_TIMEOUT_MILLIS = 1000;
  private static final double SENDING_GRACE_MILLIS = 500;
  private static final String NO_MORE_JOBS_LINE = "no more jobs are accepted";
  private static final double STORE_TIMEOUT_MILLIS = 700;

  /** The status of the answer to each job, since the dispatcher rejects all jobs. */
  private static final String REJECTED = "503";

  /** The length of the first line of a request with its line end, in bytes. */
  private static final int FIRST_LINE_LENGTH = "POST /api HTTP/1.1\r\n".length();

  /** The length of the first line and a part of the second one, in bytes. */
  private static final int PARTIAL_HEAD_LENGTH = FIRST_LINE_LENGTH + 3;

  private static final String OK = "200";
  private static final String CALLBACK =
      "{\"id\":\"ID\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"soup\"}";
  private static final String UNKNOWN_JOB = "404";
  private static final String NOT_STORED_YET = "503";
  private static final String DISABLE =
      RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", "");
  private static final String ENABLE =
      RawHttp.message("POST /-/menu-workers/s-1/enable HTTP/1.1", "");

  private static int awaitedLimit(int sockets) {
    return ConnectionLimits.within(sockets, MEMORY_MB).awaitedConnections();
  }

  @DataProvider
  public Object[][] clients() {
    return new Object[][] {
      {64, awaitedLimit(64) - 1}, {85, awaitedLimit(85) - 1}, {128, awaitedLimit(128) - 1},
      {64, 20}, {85, 24}, {128, 29}
    };
  }

  @Test(dataProvider = "clients")
  public void answersRequestsThatArriveWhileTheLoopIsBlocked(int sockets, int clients)
      throws Exception {
    start(sockets);
    awaitSettled();
    blockLoop();
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    blockReleased.countDown();
    assertAllReceive(REJECTED, callers);
  }

  @DataProvider
  public Object[][] sockets() {
    return new Object[][] {{64, 12}, {85, 16}, {128, 24}};
  }

  @Test(dataProvider = "sockets")
  public void closesSilentConnectionsInsteadOfThoseWithUnreadRequests(int sockets, int clients)
      throws Exception {
    start(sockets);
    List<RawHttp> silentConnections = connect(awaitedLimit(sockets) - 1, node.address(), "");
    awaitSettled();
    blockLoop();
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    connect(3, node.address(), "");
    blockReleased.countDown();
    assertAllReceive(REJECTED, callers);
    advance(SENDING_GRACE_MILLIS);
    assertEquals(outcome(silentConnections.get(0)), "closed");
  }

  @DataProvider
  public Object[][] laterCallers() {
    String state = RawHttp.message("POST /-/state HTTP/1.1", "x");
    String callback = RawHttp.message("POST /-/news HTTP/1.1", "x");
    return new Object[][] {
      {7, state}, {7, callback}, {7, ""}, {12, state}, {12, callback}, {12, ""}, {30, state}
    };
  }

  @Test(dataProvider = "laterCallers")
  public void answersOperatorsCallWhateverNumberOfCallersFollows(int callers, String bytes)
      throws Exception {
    start(64);
    blockLoop();
    RawHttp call = connect(node.adminAddress(), DISABLE);
    connect(callers, node.adminAddress(), bytes);
    blockReleased.countDown();
    assertEquals(outcome(call), OK);
  }

  @DataProvider
  public Object[][] relays() {
    return new Object[][] {{8}, {12}, {30}};
  }

  /** Each callback relayed by another process of the node arrives on a new connection. */
  @Test(dataProvider = "relays")
  public void answersCallbacksRelayedWhileTheLoopIsBlocked(int relays) throws Exception {
    start(64);
    blockLoop();
    List<RawHttp> callers =
        connect(relays, node.adminAddress(), RawHttp.message("POST /-/news HTTP/1.1", CALLBACK));
    blockReleased.countDown();
    assertAllReceive(UNKNOWN_JOB, callers);
  }

  @DataProvider
  public Object[][] timeouts() {
    return new Object[][] {
      {false, 0}, {false, FIRST_LINE_LENGTH}, {false, PARTIAL_HEAD_LENGTH},
      {true, 0}, {true, FIRST_LINE_LENGTH}, {true, PARTIAL_HEAD_LENGTH}
    };
  }

  /**
   * The bytes of a request after {@code prefixLength} arrive while the connection's timer is about
   * to run.
   */
  @Test(dataProvider = "timeouts")
  public void readsRequestThatArrivedBeforeItsConnectionTimerRuns(
      boolean operators, int prefixLength) throws Exception {
    start(64);
    String bytes = operators ? DISABLE : request("a");
    RawHttp caller =
        connect(operators ? node.adminAddress() : node.address(), bytes.substring(0, prefixLength));
    awaitSettled();
    blockLoopAt(LATE_TIMER_LINE);
    advance((operators ? CALL_TIMEOUT_MILLIS : CLIENT_TIMEOUT_MILLIS) + 1);
    blockReached.await();
    caller.write(bytes.substring(prefixLength));
    blockReleased.countDown();
    assertEquals(outcome(caller), operators ? OK : REJECTED);
  }

  @Test
  public void keepsOperatorsCallOpenWhileItsChangeIsStored() throws Exception {
    start(64);
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("no space"));
    RawHttp call = connect(node.adminAddress(), "");
    awaitSettled();
    advance(CALL_TIMEOUT_MILLIS - 1);
    blockLoopAt(TAKEN_OUT_LINE);
    call.write(DISABLE);
    blockReached.await();
    blockReleased.countDown();
    awaitSettled();
    advance(STORE_TIMEOUT_MILLIS);
    assertEquals(outcome(call), NOT_STORED_YET);
  }

  @DataProvider
  public Object[][] enableCallers() {
    return new Object[][] {{"has disconnected", 1}, {"is waiting", 0}};
  }

  /**
   * Guards against an abandoned operators' call that reverts a later decision of another process.
   */
  @Test(dataProvider = "enableCallers")
  public void enableReadAfterLaterDecisionIsAppliedOnlyIfItsCaller(
      String callerState, int excludedWorkers) throws Exception {
    start(64);
    assertEquals(outcome(connect(node.adminAddress(), DISABLE)), OK);
    RawHttp other = connect(node.adminAddress(), "");
    RawHttp call = connect(node.adminAddress(), "");
    awaitSettled();
    blockLoop();
    String record = SharedRecordCodec.write(new MaintenanceEntry("s-1", 5, true, 0));
    other.write(RawHttp.message("POST /-/state HTTP/1.1", record));
    call.write(ENABLE);
    if (callerState.equals("has disconnected")) {
      call.close();
    }
    blockReleased.countDown();
    awaitSettled();
    RawHttp metrics = connect(node.adminAddress(), "GET /-/metrics HTTP/1.1\r\n\r\n");
    assertTrue(
        metrics.read().body().contains("menu_workers_excluded=" + excludedWorkers + "\n"),
        callerState);
  }

  @DataProvider
  public Object[][] parts() {
    return new Object[][] {{FIRST_LINE_LENGTH}, {PARTIAL_HEAD_LENGTH}};
  }

  @Test(dataProvider = "parts")
  public void answersPartialRequestWhenItTimesOut(int prefixLength) throws Exception {
    start(64);
    RawHttp caller = connect(node.address(), request("a").substring(0, prefixLength));
    awaitSettled();
    advance(CLIENT_TIMEOUT_MILLIS + 1);
    assertEquals(outcome(caller), "408");
  }

  /** Guards against closing a known client's connection when many other clients connect. */
  @Test
  public void answersRequestOnIdleConnectionWhenTheConnectionLimitIsReached() throws Exception {
    start(64);
    RawHttp idle = connect(node.address(), request("idle"));
    assertEquals(outcome(idle), REJECTED);
    blockLoop();
    idle.write(request("next"));
    connect(ConnectionLimits.within(64, MEMORY_MB).clients(), node.address(), request("ID"));
    blockReleased.countDown();
    assertEquals(outcome(idle), REJECTED);
  }

  @Test
  public void answersRequestsOnNewConnectionsWhenIdleOnesReachTheLimit() throws Exception {
    start(64);
    int idle = ConnectionLimits.within(64, MEMORY_MB).clients() - awaitedLimit(64);
    for (int i = 0; i < idle; i++) {
      assertEquals(outcome(connect(node.address(), request("idle" + i))), REJECTED);
    }
    blockLoop();
    List<RawHttp> callers = connect(awaitedLimit(64), node.address(), request("ID"));
    blockReleased.countDown();
    assertAllReceive(REJECTED, callers);
  }

  /** Guards against partial requests whose number is limited only at the next periodic sweep. */
  @Test
  public void limitsPartialRequestsThatArriveAtOnce() throws Exception {
    start(64);
    List<RawHttp> silentConnections = connect(2 * awaitedLimit(64), node.address(), "");
    awaitSettled();
    for (RawHttp connection : silentConnections) {
      connection.write(request("a").substring(0, PARTIAL_HEAD_LENGTH));
    }
    assertEquals(outcome(silentConnections.get(0)), "503");
  }

  /** Guards against operators' calls that wait for the disk and block all other calls. */
  @Test
  public void answersOperatorsCallWhileOthersWaitForTheDisk() throws Exception {
    start(64);
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("no space"));
    connect(16, node.adminAddress(), DISABLE);
    awaitSettled();
    RawHttp ready = connect(node.adminAddress(), RawHttp.message("GET /-/ready HTTP/1.1", ""));
    assertEquals(outcome(ready), OK);
  }

  /**
   * Guards against closing an idle connection to free capacity when peers have already closed their
   * own connections.
   */
  @Test
  public void closesConnectionsClosedByTheirPeersBeforeIdleOnes() throws Exception {
    start(64);
    awaitSettled();
    RawHttp idle = connect(node.address(), request("idle"));
    assertEquals(outcome(idle), REJECTED);
    int others = ConnectionLimits.within(64, MEMORY_MB).clients() - PendingReads.MAX_ACCEPTS;
    for (int i = 0; i < others; i++) {
      assertEquals(outcome(connect(node.address(), request("other" + i))), REJECTED);
    }
    blockLoop();
    for (int i = 0; i < PendingReads.MAX_ACCEPTS; i++) {
      RawHttp.connect(node.address()).close();
    }
    blockReleased.countDown();
    awaitSettled();
    idle.write(request("next"));
    assertEquals(outcome(idle), REJECTED);
  }

  /** Guards against a stopping process that resets connections beyond its connection limit. */
  @Test
  public void rejectsWaitingRequestsBeyondTheLimitAtShutdown() throws Exception {
    start(64);
    awaitSettled();
    blockLoopAt(NO_MORE_JOBS_LINE);
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopAtOnce);
    blockReached.await();
    int clients = ConnectionLimits.within(64, MEMORY_MB).clients() + 10;
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    blockReleased.countDown();
    List<String> outcomes = new ArrayList<>();
    for (RawHttp caller : callers) {
      outcomes.add(outcome(caller));
      caller.close();
    }
    assertEquals(outcomes, Collections.nCopies(clients, REJECTED));
    stopped.get();
  }

  private void stopAtOnce() {
    try {
      node.stop(0);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
