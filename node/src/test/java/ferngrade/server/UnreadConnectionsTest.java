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
 * Guards against connections that the node closes, for their number or their age, while a whole
 * request lies there that a loop that was held up has not read yet.
 */
@Test(timeOut = 30_000)
public class UnreadConnectionsTest extends HeldLoopFixture {
  private static final String TAKEN_OUT = "menu worker s-1 taken out by operators";
  private static final double CLIENT_TIMEOUT = 1500;
  private static final double CALL_TIMEOUT = 1000;
  private static final double SENDING_GRACE = 500;
  private static final String NO_MORE_JOBS = "no more jobs are accepted";
  private static final double STORE_TIMEOUT = 700;

  /** The answer to each job: the dispatcher refuses all. */
  private static final String REFUSED = "503";

  /** Bytes of the first line of a request, with its end, and a few more. */
  private static final int FIRST_LINE = "POST /api HTTP/1.1\r\n".length();

  private static final int PART_OF_A_LINE = FIRST_LINE + 3;

  private static final String YES = "200";
  private static final String CALLBACK =
      "{\"id\":\"ID\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"soup\"}";
  private static final String UNKNOWN_JOB = "404";
  private static final String NOT_STORED_YET = "503";
  private static final String DISABLE =
      RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", "");
  private static final String ENABLE =
      RawHttp.message("POST /-/menu-workers/s-1/enable HTTP/1.1", "");

  private static int awaited(int sockets) {
    return ConnectionLimits.within(sockets, MEMORY_MB).awaited();
  }

  @DataProvider
  public Object[][] clients() {
    return new Object[][] {
      {64, awaited(64) - 1}, {85, awaited(85) - 1}, {128, awaited(128) - 1},
      {64, 20}, {85, 24}, {128, 29}
    };
  }

  @Test(dataProvider = "clients")
  public void requestsOfAllClientsThatCameWhileTheLoopWasHeldAreAnswered(int sockets, int clients)
      throws Exception {
    start(sockets);
    settled();
    hold();
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    release.countDown();
    assertAllGet(REFUSED, callers);
  }

  @DataProvider
  public Object[][] sockets() {
    return new Object[][] {{64, 12}, {85, 16}, {128, 24}};
  }

  @Test(dataProvider = "sockets")
  public void silentConnectionsGiveWayToRequestsThatAreNotReadYet(int sockets, int clients)
      throws Exception {
    start(sockets);
    List<RawHttp> silent = connect(awaited(sockets) - 1, node.address(), "");
    settled();
    hold();
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    connect(3, node.address(), "");
    release.countDown();
    assertAllGet(REFUSED, callers);
    advance(SENDING_GRACE);
    assertEquals(outcome(silent.get(0)), "closed");
  }

  @DataProvider
  public Object[][] callersBehind() {
    String state = RawHttp.message("POST /-/state HTTP/1.1", "x");
    String callback = RawHttp.message("POST /-/news HTTP/1.1", "x");
    return new Object[][] {
      {7, state}, {7, callback}, {7, ""}, {12, state}, {12, callback}, {12, ""}, {30, state}
    };
  }

  @Test(dataProvider = "callersBehind")
  public void operatorsCallIsAnsweredHoweverManyCallersComeBehindIt(int callers, String bytes)
      throws Exception {
    start(64);
    hold();
    RawHttp call = connect(node.adminAddress(), DISABLE);
    connect(callers, node.adminAddress(), bytes);
    release.countDown();
    assertEquals(outcome(call), YES);
  }

  @DataProvider
  public Object[][] relays() {
    return new Object[][] {{8}, {12}, {30}};
  }

  /** What the other processes of the node relay comes on a connection each. */
  @Test(dataProvider = "relays")
  public void callbacksRelayedWhileTheLoopWasHeldAreAllAnswered(int relays) throws Exception {
    start(64);
    hold();
    List<RawHttp> callers =
        connect(relays, node.adminAddress(), RawHttp.message("POST /-/news HTTP/1.1", CALLBACK));
    release.countDown();
    assertAllGet(UNKNOWN_JOB, callers);
  }

  @DataProvider
  public Object[][] timeouts() {
    return new Object[][] {
      {false, 0}, {false, FIRST_LINE}, {false, PART_OF_A_LINE},
      {true, 0}, {true, FIRST_LINE}, {true, PART_OF_A_LINE}
    };
  }

  /** The bytes behind {@code before} come while the timer of the connection is about to run. */
  @Test(dataProvider = "timeouts")
  public void requestThatCameBeforeTheTimerOfItsConnectionRunsIsRead(boolean operators, int before)
      throws Exception {
    start(64);
    String bytes = operators ? DISABLE : request("a");
    RawHttp caller =
        connect(operators ? node.adminAddress() : node.address(), bytes.substring(0, before));
    settled();
    holdNextAt(TIMER_IS_LATE);
    advance((operators ? CALL_TIMEOUT : CLIENT_TIMEOUT) + 1);
    held.await();
    caller.write(bytes.substring(before));
    release.countDown();
    assertEquals(outcome(caller), operators ? YES : REFUSED);
  }

  @Test
  public void operatorsCallThatWasReadInTimeIsNotCutOffWhileItIsStored() throws Exception {
    start(64);
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("no space"));
    RawHttp call = connect(node.adminAddress(), "");
    settled();
    advance(CALL_TIMEOUT - 1);
    holdNextAt(TAKEN_OUT);
    call.write(DISABLE);
    held.await();
    release.countDown();
    settled();
    advance(STORE_TIMEOUT);
    assertEquals(outcome(call), NOT_STORED_YET);
  }

  @DataProvider
  public Object[][] callersBack() {
    return new Object[][] {{"has gone", 1}, {"waits", 0}};
  }

  /** Fails where a call that nobody waits for any more undoes a later one at another process. */
  @Test(dataProvider = "callersBack")
  public void callBackThatWasReadBehindALaterDecisionCountsOnlyIfItsCaller(String how, int out)
      throws Exception {
    start(64);
    assertEquals(outcome(connect(node.adminAddress(), DISABLE)), YES);
    RawHttp other = connect(node.adminAddress(), "");
    RawHttp call = connect(node.adminAddress(), "");
    settled();
    hold();
    String record = SharedRecordCodec.write(new MaintenanceEntry("s-1", 5, true, 0));
    other.write(RawHttp.message("POST /-/state HTTP/1.1", record));
    call.write(ENABLE);
    if (how.equals("has gone")) {
      call.close();
    }
    release.countDown();
    settled();
    RawHttp metrics = connect(node.adminAddress(), "GET /-/metrics HTTP/1.1\r\n\r\n");
    assertTrue(metrics.read().body().contains("menu_workers_excluded=" + out + "\n"), how);
  }

  @DataProvider
  public Object[][] parts() {
    return new Object[][] {{FIRST_LINE}, {PART_OF_A_LINE}};
  }

  @Test(dataProvider = "parts")
  public void requestOfWhichAPartWasReadIsAnsweredWhenItsTimeIsOver(int before) throws Exception {
    start(64);
    RawHttp caller = connect(node.address(), request("a").substring(0, before));
    settled();
    advance(CLIENT_TIMEOUT + 1);
    assertEquals(outcome(caller), "408");
  }

  /** A client that has had an answer keeps its connection, and many others connect. */
  @Test
  public void requestOnAnIdleConnectionIsAnsweredThoughTheProcessFillsUp() throws Exception {
    start(64);
    RawHttp idle = connect(node.address(), request("idle"));
    assertEquals(outcome(idle), REFUSED);
    hold();
    idle.write(request("next"));
    connect(ConnectionLimits.within(64, MEMORY_MB).clients(), node.address(), request("ID"));
    release.countDown();
    assertEquals(outcome(idle), REFUSED);
  }

  @Test
  public void requestsOnNewConnectionsAreAnsweredThoughIdleOnesFillTheProcess() throws Exception {
    start(64);
    int idle = ConnectionLimits.within(64, MEMORY_MB).clients() - awaited(64);
    for (int i = 0; i < idle; i++) {
      assertEquals(outcome(connect(node.address(), request("idle" + i))), REFUSED);
    }
    hold();
    List<RawHttp> callers = connect(awaited(64), node.address(), request("ID"));
    release.countDown();
    assertAllGet(REFUSED, callers);
  }

  /** Fails where bodies in part are bounded by the next sweep only. */
  @Test
  public void partsThatManySilentConnectionsSendAtOnceAreBoundedAtOnce() throws Exception {
    start(64);
    List<RawHttp> silent = connect(2 * awaited(64), node.address(), "");
    settled();
    for (RawHttp each : silent) {
      each.write(request("a").substring(0, PART_OF_A_LINE));
    }
    assertEquals(outcome(silent.get(0)), "503");
  }

  /** Fails where operators' calls that wait for the disk keep all others from being accepted. */
  @Test
  public void operatorsCallIsAnsweredThoughManyOthersWaitForTheDisk() throws Exception {
    start(64);
    files.fail(Operation.WRITE, FaultInjectingFileOperations.error("no space"));
    connect(16, node.adminAddress(), DISABLE);
    settled();
    RawHttp ready = connect(node.adminAddress(), RawHttp.message("GET /-/ready HTTP/1.1", ""));
    assertEquals(outcome(ready), YES);
  }

  /** Fails where the place of a connection that its peer has closed is taken from a live one. */
  @Test
  public void connectionsThatTheirPeersHaveClosedGiveWayBeforeAnIdleOne() throws Exception {
    start(64);
    settled();
    RawHttp idle = connect(node.address(), request("idle"));
    assertEquals(outcome(idle), REFUSED);
    int others = ConnectionLimits.within(64, MEMORY_MB).clients() - PendingReads.MAX_ACCEPTS;
    for (int i = 0; i < others; i++) {
      assertEquals(outcome(connect(node.address(), request("other" + i))), REFUSED);
    }
    hold();
    for (int i = 0; i < PendingReads.MAX_ACCEPTS; i++) {
      RawHttp.to(node.address()).close();
    }
    release.countDown();
    settled();
    idle.write(request("next"));
    assertEquals(outcome(idle), REFUSED);
  }

  /** Fails where a process that ends resets the connections for which it has no place at once. */
  @Test
  public void requestsBeyondThePlacesThatWaitAtTheEndAreRejected() throws Exception {
    start(64);
    settled();
    holdNextAt(NO_MORE_JOBS);
    CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopAtOnce);
    held.await();
    int clients = ConnectionLimits.within(64, MEMORY_MB).clients() + 10;
    List<RawHttp> callers = connect(clients, node.address(), request("ID"));
    release.countDown();
    List<String> outcomes = new ArrayList<>();
    for (RawHttp each : callers) {
      outcomes.add(outcome(each));
      each.close();
    }
    assertEquals(outcomes, Collections.nCopies(clients, REFUSED));
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
