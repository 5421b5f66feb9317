package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Two events that cross, in the bad order every time: the story's peers force it, and time stands
 * still unless the story moves it. docs/design/crossings.md has the table of which test stands for
 * which pair.
 */
@Test(timeOut = 30_000)
public class RaceConditionTest extends NodeIntegrationFixture {
  private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DECLINED =
      "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /**
   * The queue of the worker's listener is full, so that a dial hangs until the story takes what
   * waits there.
   */
  private List<Socket> fillWorkersQueue() throws Exception {
    worker.close();
    worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(10_000);
    return List.of(
        new Socket(worker.getInetAddress(), worker.getLocalPort()),
        new Socket(worker.getInetAddress(), worker.getLocalPort()));
  }

  private void emptyWorkersQueue(List<Socket> filled) throws Exception {
    for (Socket each : filled) {
      worker.accept().close();
      each.close();
    }
  }

  /**
   * How a client goes; one that shuts only its sending side cannot be told from one that closed.
   */
  private enum Leaving {
    CLOSES,
    RESETS,
    SHUTS_ITS_SENDING_SIDE
  }

  @DataProvider
  public Object[][] leavings() {
    return Stream.of(Leaving.values()).map(each -> new Object[] {each}).toArray(Object[][]::new);
  }

  @Test(dataProvider = "leavings")
  public void clientThatGoesWhileTheWorkerIsDialledHasNothingBegunForIt(Leaving how)
      throws Exception {
    List<Socket> filled = fillWorkersQueue();
    start(list(1, "active"), () -> now);
    Socket gone = new Socket(node.address().getAddress(), node.address().getPort());
    new RawHttp(gone).write(RawHttp.message(job("POST /api", "a", "order"), ""));
    settled();
    switch (how) {
      case CLOSES -> gone.close();
      case RESETS -> {
        gone.setSoLinger(true, 0);
        gone.close();
      }
      default -> gone.shutdownOutput();
    }
    settled();
    emptyWorkersQueue(filled);
    try (RawHttp worked = new RawHttp(worker.accept());
        RawHttp client = RawHttp.to(node.address())) {
      settled();
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      Message first = worked.read();
      assertEquals(first.headers().get("Req-Id"), "b");
    }
  }

  @Test
  public void clientThatGoesBehindPipelinedRequestsHasNoneOfThemBegun() throws Exception {
    start(list(1, "active"), () -> now);
    RawHttp worked;
    try (RawHttp gone = RawHttp.to(node.address())) {
      gone.write(
          RawHttp.message(job("POST /api", "a", "order"), "")
              + RawHttp.message(job("POST /api", "b", "order"), ""));
      worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
    }
    settled();
    assertEquals(callBack("a", DONE), 204);
    settled();
    advance(100);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      assertEquals(worked.read().headers().get("Req-Id"), "c");
    }
  }

  @Test
  public void pipelinedRequestTellsItsWorkerNoMoreTimeThanItsClientHasLeft() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(
          RawHttp.message(job("POST /api", "a", "order"), "")
              + RawHttp.message(job("POST /api", "b", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
      settled();
      advance(3000);
      callBack("a", DONE);
      assertEquals(worked.read().headers().get("Req-Deadline"), "5990m");
    }
  }

  /** What a worker leaves behind its answer, in the same write or while the connection rests. */
  @DataProvider
  public Object[][] leftovers() {
    return new Object[][] {
      {"HTTP/1.1 5", true}, {"HTTP/1.1 5", false}, {DECLINED, true}, {DECLINED, false}
    };
  }

  @Test(dataProvider = "leftovers")
  public void leftoverOnAWorkersConnectionIsNotTheNextAnswersBeginning(
      String leftover, boolean together) throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN + (together ? leftover : ""));
      callBack("a", DONE);
      assertEquals(client.read().status(), 200);
      settled();
      worked.write(together ? "" : leftover);
      settled();
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      RawHttp fresh = new RawHttp(worker.accept());
      assertEquals(fresh.read().headers().get("Req-Id"), "b");
      fresh.write(TAKEN);
      callBack("b", DONE);
      assertEquals(client.read().status(), 200);
    }
  }

  @Test
  public void secondAnswerThatComesLateIsNotTheNextRequests() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
      callBack("a", DONE);
      assertEquals(client.read().status(), 200);
      settled();
      advance(10);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      RawHttp fresh = new RawHttp(worker.accept());
      assertEquals(fresh.read().headers().get("Req-Id"), "b");
      worked.write(DECLINED);
      settled();
      fresh.write(TAKEN);
      callBack("b", DONE);
      assertEquals(client.read().status(), 200);
    }
  }

  @Test
  public void attemptGivenUpBeforeThe202IsDeletedAndTheNextOneWaitsForThat() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(10_000);
      start(
          list(1, "active")
              .replace(
                  "{\"id\":\"s-2\",\"host_port\":7,",
                  "{\"id\":\"s-2\",\"host_port\":\"127.0.0.1:"
                      + other.getLocalPort()
                      + "\",\"locality\":\"z\",\"flavor\":\"k\","),
          () -> now);
      try (RawHttp client = RawHttp.to(node.address())) {
        client.write(RawHttp.message(job("POST /api", "a", "draft"), ""));
        Map.Entry<ServerSocket, RawHttp> came = first(worker, other);
        ServerSocket first = came.getKey();
        ServerSocket second = first == worker ? other : worker;
        RawHttp hung = came.getValue();
        hung.read();
        // The timer asks the clock once a second of the machine has passed.
        advance(1000);
        RawHttp told = new RawHttp(first.accept());
        assertEquals(told.read().start(), "DELETE /jobs/a HTTP/1.1");
        assertEquals(new RawHttp(second.accept()).read().headers().get("Req-Id"), "a");
        assertNull(hung.read());
      }
    }
  }

  @Test
  public void answerThatNeverEndsIsGivenUpAndItsJobDeleted() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write("HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nab");
      settled();
      advance(1000);
      assertNull(worked.read());
      assertEquals(new RawHttp(worker.accept()).read().start(), "DELETE /jobs/a HTTP/1.1");
      assertEquals(client.read().status(), 502, "it may have run, and may not run twice");
    }
  }

  /**
   * Discovery comes back while idle clients hold every descriptor that they can get: it, workers
   * and news get theirs.
   */
  @Test
  public void idleClientsThatFillTheDescriptorsKeepOutNeitherDiscoveryNorWorkersNorCallBacks()
      throws Exception {
    start(list(1, "active"), () -> now);
    watch.close();
    List<RawHttp> crowd = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      crowd.add(RawHttp.to(node.address()));
    }
    settled();
    advance(100);
    RawHttp again = new RawHttp(discovery.accept());
    assertEquals(again.read().start(), "GET /api/targets?watch=1&from=1 HTTP/1.1");
    again.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list(2, "active") + "\n"));
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      assertEquals(callBack("a", DONE), 204);
      assertEquals(client.read().body(), "soup");
    }
    for (RawHttp each : crowd) {
      each.close();
    }
  }

  @Test
  public void requestThatComesByTheByteWhileOthersAreServedIsOneRequest() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp slow = RawHttp.to(node.address())) {
      for (byte each :
          RawHttp.message(job("POST /api", "a", "order"), "body")
              .getBytes(StandardCharsets.US_ASCII)) {
        slow.write(String.valueOf((char) each));
        settled();
      }
      assertEquals(new RawHttp(worker.accept()).read().body(), "body");
      callBack("a", DONE);
      assertEquals(slow.read().body(), "soup");
    }
  }

  @Test
  public void drainToldWhileTheWorkerIsDialledSendsNothingThere() throws Exception {
    List<Socket> filled = fillWorkersQueue();
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      settled();
      watch.write(chunk(list(2, "leaving") + "\n"));
      settled();
      emptyWorkersQueue(filled);
      RawHttp worked = new RawHttp(worker.accept());
      assertEquals(client.read().status(), 503);
      watch.write(chunk(list(3, "active") + "\n"));
      settled();
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      assertEquals(worked.read().headers().get("Req-Id"), "b");
    }
  }

  @Test
  public void stopEndsOnlyWhenItsClientsHaveReadAndReadsNoRequestBehindItsShutdown()
      throws Exception {
    start(list(1, "active"), () -> now);
    AtomicBoolean read = new AtomicBoolean();
    CompletableFuture<Boolean> stopped;
    RawHttp worked;
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp resting = RawHttp.to(node.address())) {
      resting.write(RawHttp.message(job("POST /api", "r", "order"), ""));
      worked = new RawHttp(worker.accept());
      worked.read();
      callBack("r", DONE);
      assertEquals(resting.read().status(), 200);
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      stopped =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  node.stop(0);
                  return read.get();
                } catch (InterruptedException interrupted) {
                  throw new IllegalStateException(interrupted);
                }
              });
      assertNull(resting.read());
      resting.write(RawHttp.message(job("POST /api", "late", "order"), ""));
      callBack("a", DONE);
      assertNull(resting.read(), "no answer");
      // A reset would have come by now, and make the next write fail.
      resting.write("and more");
      while (reachable()) {
        Thread.onSpinWait();
      }
      client.write("more that nobody reads");
      assertEquals(client.read().body(), "soup");
      assertNull(client.read(), "an end and no reset");
      read.set(true);
    }
    assertTrue(stopped.get(20, TimeUnit.SECONDS));
    worker.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, worker::accept);
  }

  @Test
  public void requestHalfReadAtAStopIsRefusedWhenItIsWhole() throws Exception {
    start(list(1, "active"), () -> now);
    String request = RawHttp.message(job("POST /api", "a", "order"), "body");
    try (RawHttp client = RawHttp.to(node.address())) {
      // A known client: strangers that connect meanwhile do not push it out.
      client.write(RawHttp.message(job("POST /api", "known", "order"), ""));
      new RawHttp(worker.accept()).read();
      callBack("known", DONE);
      client.read();
      client.write(request.substring(0, request.length() - 2));
      settled();
      CompletableFuture<Void> stopped =
          CompletableFuture.runAsync(
              () -> {
                try {
                  node.stop(0);
                } catch (InterruptedException interrupted) {
                  throw new IllegalStateException(interrupted);
                }
              });
      while (reachable()) {
        Thread.onSpinWait();
      }
      client.write(request.substring(request.length() - 2));
      Message answer = client.read();
      assertEquals(answer.status(), 503);
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(client.read());
      client.end();
      stopped.get(20, TimeUnit.SECONDS);
      worker.setSoTimeout(1);
      assertThrows(SocketTimeoutException.class, worker::accept);
    }
  }

  @Test
  public void signalsThatComeWhileTheNodeStopsChangeNothing() throws Exception {
    start(list(1, "active"), () -> now);
    CompletableFuture<Void> first = CompletableFuture.runAsync(this::stop);
    node.reload(config(discovery.getLocalPort(), null));
    CompletableFuture<Void> second = CompletableFuture.runAsync(this::stop);
    // Not before the stop has begun does its grace run.
    try (RawHttp client = RawHttp.to(node.address())) {
      awaitReadiness(client, 503);
    }
    advance(700);
    first.get(20, TimeUnit.SECONDS);
    second.get(20, TimeUnit.SECONDS);
    node.reload(config(discovery.getLocalPort(), null));
    node.reloadFailed("no more");
    node.stop(0);
  }

  @Test
  public void newProcessActsOnTheFirstListOnly() throws Exception {
    start(config(discovery.getLocalPort(), list(1, "active")), () -> now);
    RawHttp told = new RawHttp(discovery.accept());
    told.read();
    try (RawHttp client = RawHttp.to(node.address())) {
      assertEquals(client.write(READY).read().status(), 503);
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      assertEquals(client.read().status(), 503);
      told.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(list(2, "leaving") + "\n"));
      awaitReadiness(client, 200);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      assertEquals(client.read().status(), 503);
      worker.setSoTimeout(1);
      assertThrows(SocketTimeoutException.class, worker::accept);
    }
  }

  @Test
  public void newProcessWhoseAgentIsSilentServesByTheStoredListAfterAMoment() throws Exception {
    start(config(discovery.getLocalPort(), list(1, "active")), () -> now);
    new RawHttp(discovery.accept()).read();
    try (RawHttp client = RawHttp.to(node.address())) {
      assertEquals(client.write(READY).read().status(), 503);
      advance(300);
      awaitReadiness(client, 200);
    }
  }

  @Test
  public void newProcessServesByTheStoredListWhereDiscoveryIsAskedAndTakesItsTime()
      throws Exception {
    start(config(discovery.getLocalPort(), list(1, "active"), "ask"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      assertEquals(client.write(READY).read().status(), 200);
    }
  }

  @Test
  public void callBackCountsThoughItsLoadReportCannotBeRead() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      assertEquals(
          callBack("a", DONE + ",\"load\":{\"x0\":\"many\",\"queue\":-1e400,\"new\":[]}"), 204);
      assertEquals(client.read().body(), "soup");
    }
  }

  private boolean reachable() {
    try (Socket one = new Socket(node.address().getAddress(), node.address().getPort())) {
      return one.isConnected();
    } catch (IOException refused) {
      return false;
    }
  }

  /** The listener of these two at which a connection comes in first, and that connection. */
  private static Map.Entry<ServerSocket, RawHttp> first(ServerSocket one, ServerSocket two)
      throws IOException {
    for (int i = 0; i < 1000; i++) {
      ServerSocket each = i % 2 == 0 ? one : two;
      each.setSoTimeout(10);
      try {
        return Map.entry(each, new RawHttp(each.accept()));
      } catch (SocketTimeoutException none) {
        continue;
      } finally {
        each.setSoTimeout(10_000);
      }
    }
    throw new SocketTimeoutException("no connection at either");
  }
}
