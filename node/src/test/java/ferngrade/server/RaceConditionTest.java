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
 * Guards against race conditions between two events. Each test forces the unfavorable order through
 * its peers, and the clock only moves when the test advances it. The table in
 * docs/design/crossings.md maps the pairs of events to their tests.
 */
@Test(timeOut = 30_000)
public class RaceConditionTest extends NodeIntegrationFixture {
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DECLINED =
      "HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";

  /**
   * Fills the accept queue of the worker's listener, so that connects hang until the test empties
   * the queue.
   */
  private List<Socket> fillAcceptQueue() throws Exception {
    worker.close();
    worker = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    worker.setSoTimeout(10_000);
    return List.of(
        new Socket(worker.getInetAddress(), worker.getLocalPort()),
        new Socket(worker.getInetAddress(), worker.getLocalPort()));
  }

  private void emptyAcceptQueue(List<Socket> queuedConnections) throws Exception {
    for (Socket queued : queuedConnections) {
      worker.accept().close();
      queued.close();
    }
  }

  /**
   * How a client disconnects. The node cannot distinguish a client that only shuts down its output
   * from one that has closed its connection.
   */
  private enum Disconnect {
    CLOSES,
    RESETS,
    SHUTS_DOWN_OUTPUT
  }

  @DataProvider
  public Object[][] disconnects() {
    return Stream.of(Disconnect.values())
        .map(disconnect -> new Object[] {disconnect})
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "disconnects")
  public void startsNoAttemptForClientThatDisconnectsDuringConnect(Disconnect disconnect)
      throws Exception {
    List<Socket> queuedConnections = fillAcceptQueue();
    start(endpointList(1, "active"), () -> now);
    Socket departing = new Socket(node.address().getAddress(), node.address().getPort());
    new RawHttp(departing).write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
    awaitSettled();
    switch (disconnect) {
      case CLOSES -> departing.close();
      case RESETS -> {
        departing.setSoLinger(true, 0);
        departing.close();
      }
      default -> departing.shutdownOutput();
    }
    awaitSettled();
    emptyAcceptQueue(queuedConnections);
    try (RawHttp workerConnection = new RawHttp(worker.accept());
        RawHttp client = RawHttp.connect(node.address())) {
      awaitSettled();
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      Message first = workerConnection.read();
      assertEquals(first.headers().get("Req-Id"), "b");
    }
  }

  @Test
  public void startsNoPipelinedRequestOfDisconnectedClient() throws Exception {
    start(endpointList(1, "active"), () -> now);
    RawHttp workerConnection;
    try (RawHttp departing = RawHttp.connect(node.address())) {
      departing.write(
          RawHttp.message(jobHead("POST /api", "a", "order"), "")
              + RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
    }
    awaitSettled();
    assertEquals(sendCallback("a", DONE), 204);
    awaitSettled();
    advance(100);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "c", "order"), ""));
      assertEquals(workerConnection.read().headers().get("Req-Id"), "c");
    }
  }

  @Test
  public void deadlineOfPipelinedRequestIsReducedByItsWait() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(
          RawHttp.message(jobHead("POST /api", "a", "order"), "")
              + RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
      awaitSettled();
      advance(3000);
      sendCallback("a", DONE);
      assertEquals(workerConnection.read().headers().get("Req-Deadline"), "5990m");
    }
  }

  /** Bytes that a worker sends after its answer, in the same write or on the idle connection. */
  @DataProvider
  public Object[][] leftovers() {
    return new Object[][] {
      {"HTTP/1.1 5", true}, {"HTTP/1.1 5", false}, {DECLINED, true}, {DECLINED, false}
    };
  }

  @Test(dataProvider = "leftovers")
  public void leftoverBytesOnWorkerConnectionAreNotReadAsNextAnswer(
      String leftover, boolean inSameWrite) throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED + (inSameWrite ? leftover : ""));
      sendCallback("a", DONE);
      assertEquals(client.read().status(), 200);
      awaitSettled();
      workerConnection.write(inSameWrite ? "" : leftover);
      awaitSettled();
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      RawHttp fresh = new RawHttp(worker.accept());
      assertEquals(fresh.read().headers().get("Req-Id"), "b");
      fresh.write(ACCEPTED);
      sendCallback("b", DONE);
      assertEquals(client.read().status(), 200);
    }
  }

  @Test
  public void lateSecondAnswerIsNotAssignedToNextRequest() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
      sendCallback("a", DONE);
      assertEquals(client.read().status(), 200);
      awaitSettled();
      advance(10);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      RawHttp fresh = new RawHttp(worker.accept());
      assertEquals(fresh.read().headers().get("Req-Id"), "b");
      workerConnection.write(DECLINED);
      awaitSettled();
      fresh.write(ACCEPTED);
      sendCallback("b", DONE);
      assertEquals(client.read().status(), 200);
    }
  }

  @Test
  public void deletesTimedOutAttemptBeforeTheNextOneStarts() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      other.setSoTimeout(10_000);
      start(
          endpointList(1, "active")
              .replace(
                  "{\"id\":\"s-2\",\"host_port\":7,",
                  "{\"id\":\"s-2\",\"host_port\":\"127.0.0.1:"
                      + other.getLocalPort()
                      + "\",\"locality\":\"z\",\"flavor\":\"k\","),
          () -> now);
      try (RawHttp client = RawHttp.connect(node.address())) {
        client.write(RawHttp.message(jobHead("POST /api", "a", "draft"), ""));
        Map.Entry<ServerSocket, RawHttp> accepted = acceptFirst(worker, other);
        ServerSocket first = accepted.getKey();
        ServerSocket second = first == worker ? other : worker;
        RawHttp hung = accepted.getValue();
        hung.read();
        // The timer reads the clock after one second of real time.
        advance(1000);
        RawHttp deletion = new RawHttp(first.accept());
        assertEquals(deletion.read().startLine(), "DELETE /jobs/a HTTP/1.1");
        assertEquals(new RawHttp(second.accept()).read().headers().get("Req-Id"), "a");
        assertNull(hung.read());
      }
    }
  }

  @Test
  public void timesOutIncompleteAnswerAndDeletesItsJob() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nab");
      awaitSettled();
      advance(1000);
      assertNull(workerConnection.read());
      assertEquals(new RawHttp(worker.accept()).read().startLine(), "DELETE /jobs/a HTTP/1.1");
      assertEquals(client.read().status(), 502, "the job may have run and must not run twice");
    }
  }

  /**
   * Guards against idle clients that use up the descriptors: descriptors must remain for the
   * reconnect to discovery, for connections to workers and for callbacks.
   */
  @Test
  public void idleClientsLeaveDescriptorsToDiscoveryWorkersAndCallbacks() throws Exception {
    start(endpointList(1, "active"), () -> now);
    watch.close();
    List<RawHttp> idleClients = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      idleClients.add(RawHttp.connect(node.address()));
    }
    awaitSettled();
    advance(100);
    RawHttp secondWatch = new RawHttp(discovery.accept());
    assertEquals(secondWatch.read().startLine(), "GET /api/targets?watch=1&from=1 HTTP/1.1");
    secondWatch.write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            + chunk(endpointList(2, "active") + "\n"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      assertEquals(sendCallback("a", DONE), 204);
      assertEquals(client.read().body(), "soup");
    }
    for (RawHttp connection : idleClients) {
      connection.close();
    }
  }

  @Test
  public void readsRequestThatArrivesByteByByteAmongOthers() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp slow = RawHttp.connect(node.address())) {
      for (byte requestByte :
          RawHttp.message(jobHead("POST /api", "a", "order"), "body")
              .getBytes(StandardCharsets.US_ASCII)) {
        slow.write(String.valueOf((char) requestByte));
        awaitSettled();
      }
      assertEquals(new RawHttp(worker.accept()).read().body(), "body");
      sendCallback("a", DONE);
      assertEquals(slow.read().body(), "soup");
    }
  }

  @Test
  public void sendsNothingToWorkerThatDrainsDuringConnect() throws Exception {
    List<Socket> queuedConnections = fillAcceptQueue();
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      awaitSettled();
      watch.write(chunk(endpointList(2, "leaving") + "\n"));
      awaitSettled();
      emptyAcceptQueue(queuedConnections);
      RawHttp workerConnection = new RawHttp(worker.accept());
      assertEquals(client.read().status(), 503);
      watch.write(chunk(endpointList(3, "active") + "\n"));
      awaitSettled();
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      assertEquals(workerConnection.read().headers().get("Req-Id"), "b");
    }
  }

  @Test
  public void stopWaitsForClientsToReadAndIgnoresLaterRequests() throws Exception {
    start(endpointList(1, "active"), () -> now);
    AtomicBoolean clientHasRead = new AtomicBoolean();
    CompletableFuture<Boolean> stopped;
    RawHttp workerConnection;
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp idle = RawHttp.connect(node.address())) {
      idle.write(RawHttp.message(jobHead("POST /api", "r", "order"), ""));
      workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      sendCallback("r", DONE);
      assertEquals(idle.read().status(), 200);
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      stopped =
          CompletableFuture.supplyAsync(
              () -> {
                try {
                  node.stop(0);
                  return clientHasRead.get();
                } catch (InterruptedException interrupted) {
                  throw new IllegalStateException(interrupted);
                }
              });
      assertNull(idle.read());
      idle.write(RawHttp.message(jobHead("POST /api", "late", "order"), ""));
      sendCallback("a", DONE);
      assertNull(idle.read(), "no answer");
      // A reset would have arrived by now and would make the next write fail.
      idle.write("and more");
      while (reachable()) {
        Thread.onSpinWait();
      }
      client.write("more that nobody reads");
      assertEquals(client.read().body(), "soup");
      assertNull(client.read(), "closed without a reset");
      clientHasRead.set(true);
    }
    assertTrue(stopped.get(20, TimeUnit.SECONDS));
    worker.setSoTimeout(1);
    assertThrows(SocketTimeoutException.class, worker::accept);
  }

  @Test
  public void rejectsRequestThatIsCompletedAfterStop() throws Exception {
    start(endpointList(1, "active"), () -> now);
    String request = RawHttp.message(jobHead("POST /api", "a", "order"), "body");
    try (RawHttp client = RawHttp.connect(node.address())) {
      // The connection of a known client is not evicted when new clients connect meanwhile.
      client.write(RawHttp.message(jobHead("POST /api", "known", "order"), ""));
      new RawHttp(worker.accept()).read();
      sendCallback("known", DONE);
      client.read();
      client.write(request.substring(0, request.length() - 2));
      awaitSettled();
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
  public void signalsDuringStopChangeNothing() throws Exception {
    start(endpointList(1, "active"), () -> now);
    CompletableFuture<Void> first = CompletableFuture.runAsync(this::stop);
    node.reload(config(discovery.getLocalPort(), null));
    CompletableFuture<Void> second = CompletableFuture.runAsync(this::stop);
    // The grace period starts only once the stop has begun.
    try (RawHttp client = RawHttp.connect(node.address())) {
      awaitReadyStatus(client, 503);
    }
    advance(700);
    first.get(20, TimeUnit.SECONDS);
    second.get(20, TimeUnit.SECONDS);
    node.reload(config(discovery.getLocalPort(), null));
    node.reloadFailed("no more");
    node.stop(0);
  }

  @Test
  public void newProcessWaitsForTheFirstPushedList() throws Exception {
    start(config(discovery.getLocalPort(), endpointList(1, "active")), () -> now);
    RawHttp firstWatch = new RawHttp(discovery.accept());
    firstWatch.read();
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write(READY).read().status(), 503);
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      assertEquals(client.read().status(), 503);
      firstWatch.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(endpointList(2, "leaving") + "\n"));
      awaitReadyStatus(client, 200);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      assertEquals(client.read().status(), 503);
      worker.setSoTimeout(1);
      assertThrows(SocketTimeoutException.class, worker::accept);
    }
  }

  @Test
  public void newProcessUsesStoredListWhenDiscoverySendsNothing() throws Exception {
    start(config(discovery.getLocalPort(), endpointList(1, "active")), () -> now);
    new RawHttp(discovery.accept()).read();
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write(READY).read().status(), 503);
      advance(300);
      awaitReadyStatus(client, 200);
    }
  }

  @Test
  public void newProcessUsesStoredListAtOnceWhenDiscoveryIsPolled() throws Exception {
    start(config(discovery.getLocalPort(), endpointList(1, "active"), "ask"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write(READY).read().status(), 200);
    }
  }

  @Test
  public void acceptsCallbackWithMalformedLoadReport() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      assertEquals(
          sendCallback("a", DONE + ",\"load\":{\"x0\":\"many\",\"queue\":-1e400,\"new\":[]}"), 204);
      assertEquals(client.read().body(), "soup");
    }
  }

  private boolean reachable() {
    try (Socket probe = new Socket(node.address().getAddress(), node.address().getPort())) {
      return probe.isConnected();
    } catch (IOException refused) {
      return false;
    }
  }

  /** Returns the listener at which a connection arrives first, and that connection. */
  private static Map.Entry<ServerSocket, RawHttp> acceptFirst(
      ServerSocket listener1, ServerSocket listener2) throws IOException {
    for (int i = 0; i < 1000; i++) {
      ServerSocket listener = i % 2 == 0 ? listener1 : listener2;
      listener.setSoTimeout(10);
      try {
        return Map.entry(listener, new RawHttp(listener.accept()));
      } catch (SocketTimeoutException noConnection) {
        continue;
      } finally {
        listener.setSoTimeout(10_000);
      }
    }
    throw new SocketTimeoutException("no connection at either listener");
  }
}
