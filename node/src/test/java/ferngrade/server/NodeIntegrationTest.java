package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import ferngrade.node.Clock;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests a whole node on loopback sockets; the test acts as its worker and its discovery. */
@Test(timeOut = 30_000)
public class NodeIntegrationTest extends NodeIntegrationFixture {
  @Test
  public void forwardsJobUnchangedAndReturnsItsResult() throws Exception {
    start(endpointList(1, "active"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(
          RawHttp.message(
              jobHead("POST /api/x?y=%20z", "a", "order") + "\r\nIdempotency-Key: k1", "body"));
      RawHttp workerConnection = new RawHttp(worker.accept());
      Message received = workerConnection.read();
      assertEquals(received.startLine(), "POST /api/x?y=%20z HTTP/1.1");
      assertEquals(received.body(), "body");
      assertEquals(received.headers().get("Req-Id"), "a");
      assertEquals(received.headers().get("Idempotency-Key"), "k1");
      assertTrue(received.headers().get("Req-Deadline").matches("[0-9]+m"));
      assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      Message answer = client.read();
      assertEquals(answer.status(), 200);
      assertEquals(answer.body(), "soup");
      assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"again\""), 204);
      assertEquals(sendCallback("nobody", "\"state\":\"lost\""), 204);
    }
  }

  @Test
  public void doesNotResendJobAfterItsConnectionBreaks() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp pooled = new RawHttp(worker.accept());
      pooled.read();
      pooled.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      sendCallback("a", "\"state\":\"done\",\"result\":\"one\"");
      assertEquals(client.read().status(), 200);
      awaitSettled();
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      assertEquals(pooled.read().headers().get("Req-Id"), "b");
      pooled.close();
      assertEquals(client.read().status(), 502);
    }
  }

  @Test
  public void rejectsJobWithRetryAfterWhenWorkerRefusesConnections() throws Exception {
    worker.close();
    start(endpointList(1, "active"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      Message answer = client.write(RawHttp.message(jobHead("POST /api", "a", "order"), "")).read();
      assertEquals(answer.status(), 503);
      assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }
  }

  @Test
  public void rejectsDeclinedJobAndFailsFailedJob() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      // The node does not reuse a connection at once, since a second answer may be in flight on it.
      RawHttp workerConnection = null;
      for (int attempt = 0; attempt < 5; attempt++) {
        workerConnection = new RawHttp(worker.accept());
        workerConnection.read();
        workerConnection.write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
      }
      assertEquals(client.read().status(), 503);
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      workerConnection.read();
      workerConnection.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
      assertEquals(client.read().status(), 502);
      advance(100);
      client.write(RawHttp.message(jobHead("POST /api", "c", "order"), ""));
      workerConnection.read();
      workerConnection.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
      assertEquals(client.read().status(), 502);
    }
  }

  @DataProvider
  public Object[][] badRequests() {
    String good = jobHead("POST /api", "a", "order");
    return new Object[][] {
      {"SOUP\r\n\r\n", 400},
      {RawHttp.message("POST /api HTTP/1.1\r\nReq-Kind: order\r\nReq-Owner: t", ""), 400},
      {RawHttp.message(good.replace("Req-Kind: order", "Req-Kind: soup"), ""), 400},
      {RawHttp.message(good.replace("Req-Owner: t", "Req-Owner: nobody"), ""), 400},
      {RawHttp.message(good.replace("9000m", "9000"), ""), 400},
      {RawHttp.message(good.replace("9000m", "soonm"), ""), 400},
      {RawHttp.message(good.replace("Req-Id: a", "Req-Id: a/../b"), ""), 400},
      {RawHttp.message(good.replace("9000m", "0x1p3m"), ""), 400},
      {RawHttp.message(good.replace("9000m", "-5m"), ""), 400},
      {RawHttp.message(good + "\r\nReq-Id: b", ""), 400},
      {RawHttp.message(good + "\r\nReq-Extra: slots=999999", ""), 400},
      {RawHttp.message(jobHead("POST /api", "a", "plan"), ""), 400},
      {RawHttp.message(good.replace("/api", "/caf\u00e9"), ""), 400},
      {good + "\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 400},
      {good + "\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab", 400},
      {good + "\r\nContent-Length: -5\r\n\r\n", 400},
      {good + "\r\nX: " + "x".repeat(9000), 400},
      {good + "\r\nContent-Length: 70000\r\n\r\n", 413},
      {good + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("x".repeat(70_000)), 413},
      {good + "\r\nContent-Length: 5\r\n\r\nab", 408},
      {"GET /api HTTP/1.1\r\n\r\n", 405},
      {RawHttp.message("POST /_jobs/news HTTP/1.1", "{\"id\":7"), 400},
      {
        RawHttp.message(
            "POST /_jobs/news HTTP/1.1", "{\"id\":\"a\",\"from\":\"s-1\",\"state\":\"done\"}"),
        400
      },
    };
  }

  @Test(dataProvider = "badRequests")
  public void answersBadRequestOnceWithoutAffectingOtherClients(String request, int status)
      throws Exception {
    start(endpointList(1, "active"));
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp bad = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "c", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      Message answer = bad.write(request).read();
      assertEquals(answer.status(), status);
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(bad.read());
      sendCallback("c", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      workerConnection.close();
    }
  }

  @Test
  public void silentConnectionsDisplaceNeitherKnownClientsNorCallbacks() throws Exception {
    start(endpointList(1, "active"));
    List<RawHttp> silentConnections = new ArrayList<>();
    try (RawHttp client =
            RawHttp.connect(node.address())
                .write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
        RawHttp workerConnection = new RawHttp(worker.accept())) {
      workerConnection.read();
      workerConnection.write(
          "HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"one\""), 204);
      assertEquals(client.read().body(), "one");
      // Exceeds the capacity of the node, which has 64 descriptors in total.
      for (int i = 0; i < 100; i++) {
        silentConnections.add(RawHttp.connect(node.address()));
      }
      client.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      assertEquals(new RawHttp(worker.accept()).read().headers().get("Req-Id"), "b");
      assertEquals(sendCallback("b", "\"state\":\"done\",\"result\":\"two\""), 204);
      assertEquals(client.read().body(), "two");
      for (RawHttp connection : silentConnections) {
        assertNull(connection.read());
      }
    } finally {
      for (RawHttp connection : silentConnections) {
        connection.close();
      }
    }
  }

  @Test
  public void clientThatSendsOversizedBodyReceivesTheErrorStatus() throws Exception {
    start(endpointList(1, "active"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(jobHead("POST /api", "a", "order") + "\r\nContent-Length: 60000000\r\n\r\n");
      String part = "x".repeat(1 << 20);
      for (int i = 0; i < 8; i++) {
        client.write(part);
      }
      assertEquals(client.read().status(), 413);
      assertNull(client.read());
    }
  }

  @Test
  public void answersPipelinedRequestsInOrderAndRejectsTooMany() throws Exception {
    start(endpointList(1, "active"));
    try (RawHttp client = RawHttp.connect(node.address())) {
      String ready = "GET /-/ready HTTP/1.1\r\n\r\n";
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), "") + ready.repeat(100));
      try (RawHttp workerConnection = new RawHttp(worker.accept())) {
        workerConnection.read();
        assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
        assertEquals(client.read().body(), "soup");
      }
      List<Integer> answers = new ArrayList<>();
      for (Message answer = client.read(); answer != null; answer = client.read()) {
        answers.add(answer.status());
        assertEquals(answer.headers().containsKey("Connection"), answers.size() == 100);
      }
      assertEquals(answers.subList(0, 64), Collections.nCopies(64, 200));
      assertEquals(answers.subList(64, answers.size()), Collections.nCopies(36, 503));
    }
  }

  @Test
  public void becomesReadyWithFirstListAndKeepsItWhenDiscoveryBreaks() throws Exception {
    start(null);
    try (RawHttp client = RawHttp.connect(node.address())) {
      assertEquals(client.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status(), 503);
      RawHttp watch = new RawHttp(discovery.accept());
      assertEquals(watch.read().startLine(), "GET /api/targets?watch=1 HTTP/1.1");
      watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      // A malformed update may have contained changes, so the node requests the whole list again.
      for (String malformed : List.of("{soup\n\n", "soup\n", "{\"members\":7}\n")) {
        watch.write(chunk(malformed));
        assertNull(watch.read());
        watch = new RawHttp(discovery.accept());
        assertEquals(watch.read().startLine(), "GET /api/targets?watch=1 HTTP/1.1");
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      }
      String list = endpointList(41, "active") + "\n";
      watch.write(chunk(list.substring(0, 20)) + chunk(list.substring(20)));
      awaitReadyStatus(client, 200);
      watch.close();
      RawHttp secondWatch = new RawHttp(discovery.accept());
      assertEquals(secondWatch.read().startLine(), "GET /api/targets?watch=1&from=41 HTTP/1.1");
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      assertNotNull(new RawHttp(worker.accept()).read());
      secondWatch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      sendCallback("a", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      secondWatch.write(chunk(endpointList(42, "left").replace("true", "false") + "\n"));
      awaitReadyStatus(client, 503);
    }
  }

  @Test
  public void keepsLastListWhenDiscoveryMovesAndRestartsRevisions() throws Exception {
    start(null);
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp other = RawHttp.connect(node.address());
        ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      RawHttp before = new RawHttp(discovery.accept());
      assertEquals(before.read().startLine(), "GET /api/targets?watch=1 HTTP/1.1");
      before.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(endpointList(41, "active") + "\n"));
      awaitReadyStatus(other, 200);
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      node.reload(config(moved.getLocalPort(), null));
      RawHttp after = new RawHttp(moved.accept());
      assertEquals(after.read().startLine(), "GET /api/targets?watch=1 HTTP/1.1");
      // The old address stays in use until the new one has sent a list, so a change from the old
      // address is still applied.
      before.write(chunk(endpointList(42, "left").replace("true", "false") + "\n"));
      awaitReadyStatus(other, 503);
      after.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(endpointList(3, "active") + "\n"));
      awaitReadyStatus(other, 200);
      before.read();
      assertNull(before.read());
      // The job that was in flight when discovery moved is still answered.
      sendCallback("a", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      after.close();
      assertEquals(
          new RawHttp(moved.accept()).read().startLine(),
          "GET /api/targets?watch=1&from=3 HTTP/1.1");
    }
  }

  /**
   * Guards against lost jobs when discovery accepts connections but has not sent a list since the
   * node started. The node must serve with the list from its configuration.
   */
  @Test
  public void losesNothingInTwoReloadsWithSilentDiscoveryAndStop() throws Exception {
    start(config(discovery.getLocalPort(), endpointList(41, "active")), Clock.system());
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp other = RawHttp.connect(node.address());
        ServerSocket second = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ServerSocket third = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      RawHttp silent = new RawHttp(discovery.accept());
      silent.read();
      awaitReadyStatus(other, 200);
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      try (RawHttp workerConnection = new RawHttp(worker.accept())) {
        workerConnection.read();
        node.reload(config(second.getLocalPort(), null));
        assertNull(silent.read(), "a watch that has never sent a list is closed at once");
        RawHttp silentToo = new RawHttp(second.accept());
        silentToo.read();
        node.reload(config(third.getLocalPort(), null));
        assertNull(silentToo.read());
        RawHttp watch = new RawHttp(third.accept());
        assertEquals(watch.read().startLine(), "GET /api/targets?watch=1 HTTP/1.1");
        awaitReadyStatus(other, 200);
        watch.write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(endpointList(3, "left") + "\n"));
        awaitReadyStatus(other, 503);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stop);
        assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
        assertEquals(client.read().body(), "soup");
        stopped.get();
      }
    }
  }

  @Test
  public void stopFinishesAcceptedJobWithLateCallback() throws Exception {
    start(endpointList(1, "active"));
    try (RawHttp client =
            RawHttp.connect(node.address())
                .write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
        RawHttp workerConnection = new RawHttp(worker.accept())) {
      // The worker's connection stays referenced: garbage collection would close it and fail the
      // job.
      workerConnection.read();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stop);
      // A request without time left is rejected without Retry-After once the grace period is over;
      // it is neither sent to a worker nor answered as failed.
      Message lateAnswer = null;
      for (int i = 0;
          lateAnswer == null
              || lateAnswer.status() != 503
              || lateAnswer.headers().containsKey("Retry-After");
          i++) {
        try (RawHttp other = RawHttp.connect(node.address())) {
          String expired = jobHead("POST /api", "n" + i, "order").replace("9000m", "0m");
          lateAnswer = other.write(RawHttp.message(expired, "")).read();
        } catch (ConnectException refused) {
          throw refused;
        } catch (SocketException reset) {
          // The grace period ended between this connect and its request.
          lateAnswer = null;
        }
      }
      assertEquals(lateAnswer.headers().get("Connection"), "close");
      assertEquals(sendCallback("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
      Message answer = client.read();
      assertEquals(answer.body(), "soup");
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(client.read());
      stopped.get();
    }
  }
}
