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

/**
 * Stories of a whole node on loopback sockets, against a worker and a discovery that the story
 * speaks for.
 */
@Test(timeOut = 30_000)
public class NodeIntegrationTest extends NodeIntegrationFixture {
  @Test
  public void jobGoesThroughUnchangedAndItsResultComesBack() throws Exception {
    start(list(1, "active"));
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(
          RawHttp.message(
              job("POST /api/x?y=%20z", "a", "order") + "\r\nIdempotency-Key: k1", "body"));
      RawHttp worked = new RawHttp(worker.accept());
      Message got = worked.read();
      assertEquals(got.start(), "POST /api/x?y=%20z HTTP/1.1");
      assertEquals(got.body(), "body");
      assertEquals(got.headers().get("Req-Id"), "a");
      assertEquals(got.headers().get("Idempotency-Key"), "k1");
      assertTrue(got.headers().get("Req-Deadline").matches("[0-9]+m"));
      assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
      worked.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      Message answer = client.read();
      assertEquals(answer.status(), 200);
      assertEquals(answer.body(), "soup");
      assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"again\""), 204);
      assertEquals(callBack("nobody", "\"state\":\"lost\""), 204);
    }
  }

  @Test
  public void connectionThatBreaksUnderAWrittenJobIsNotAnsweredByAResend() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp pooled = new RawHttp(worker.accept());
      pooled.read();
      pooled.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      callBack("a", "\"state\":\"done\",\"result\":\"one\"");
      assertEquals(client.read().status(), 200);
      settled();
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      assertEquals(pooled.read().headers().get("Req-Id"), "b");
      pooled.close();
      assertEquals(client.read().status(), 502);
    }
  }

  @Test
  public void refusedConnectIsARefusalWithAdvice() throws Exception {
    worker.close();
    start(list(1, "active"));
    try (RawHttp client = RawHttp.to(node.address())) {
      Message answer = client.write(RawHttp.message(job("POST /api", "a", "order"), "")).read();
      assertEquals(answer.status(), 503);
      assertTrue(Double.parseDouble(answer.headers().get("Retry-After")) > 0);
    }
  }

  @Test
  public void declinedJobIsRefusedAndAFailedOneFails() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      // No connection is used again at once: a second answer may be under way on it.
      RawHttp worked = null;
      for (int attempt = 0; attempt < 5; attempt++) {
        worked = new RawHttp(worker.accept());
        worked.read();
        worked.write("HTTP/1.1 503 Busy\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
      }
      assertEquals(client.read().status(), 503);
      advance(100);
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      worked.read();
      worked.write("HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n");
      assertEquals(client.read().status(), 502);
      advance(100);
      client.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      worked.read();
      worked.write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
      assertEquals(client.read().status(), 502);
    }
  }

  @DataProvider
  public Object[][] badRequests() {
    String good = job("POST /api", "a", "order");
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
      {RawHttp.message(job("POST /api", "a", "plan"), ""), 400},
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
  public void badRequestGetsOnePlainAnswerAndHarmsNobodyElse(String request, int status)
      throws Exception {
    start(list(1, "active"));
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp bad = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write("HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
      Message answer = bad.write(request).read();
      assertEquals(answer.status(), status);
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(bad.read());
      callBack("c", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      worked.close();
    }
  }

  @Test
  public void crowdOfSilentConnectionsPushesOutNeitherAKnownClientNorACallBack() throws Exception {
    start(list(1, "active"));
    List<RawHttp> crowd = new ArrayList<>();
    try (RawHttp client =
            RawHttp.to(node.address()).write(RawHttp.message(job("POST /api", "a", "order"), ""));
        RawHttp worked = new RawHttp(worker.accept())) {
      worked.read();
      worked.write("HTTP/1.1 202 Accepted\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
      assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"one\""), 204);
      assertEquals(client.read().body(), "one");
      // More than there is room for: the node holds 64 descriptors in all.
      for (int i = 0; i < 100; i++) {
        crowd.add(RawHttp.to(node.address()));
      }
      client.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      assertEquals(new RawHttp(worker.accept()).read().headers().get("Req-Id"), "b");
      assertEquals(callBack("b", "\"state\":\"done\",\"result\":\"two\""), 204);
      assertEquals(client.read().body(), "two");
      for (RawHttp each : crowd) {
        assertNull(each.read());
      }
    } finally {
      for (RawHttp each : crowd) {
        each.close();
      }
    }
  }

  @Test
  public void clientThatSendsFarTooMuchStillReadsWhy() throws Exception {
    start(list(1, "active"));
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(job("POST /api", "a", "order") + "\r\nContent-Length: 60000000\r\n\r\n");
      String part = "x".repeat(1 << 20);
      for (int i = 0; i < 8; i++) {
        client.write(part);
      }
      assertEquals(client.read().status(), 413);
      assertNull(client.read());
    }
  }

  @Test
  public void requestsOnOneConnectionAreAnsweredInTurnAndTooManyAreRefusedAndEndIt()
      throws Exception {
    start(list(1, "active"));
    try (RawHttp client = RawHttp.to(node.address())) {
      String ready = "GET /-/ready HTTP/1.1\r\n\r\n";
      client.write(RawHttp.message(job("POST /api", "a", "order"), "") + ready.repeat(100));
      try (RawHttp worked = new RawHttp(worker.accept())) {
        worked.read();
        assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
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
  public void nodeIsReadyOnceAListIsKnownAndKeepsItWhenDiscoveryBreaks() throws Exception {
    start(null);
    try (RawHttp client = RawHttp.to(node.address())) {
      assertEquals(client.write("GET /-/ready HTTP/1.1\r\n\r\n").read().status(), 503);
      RawHttp watch = new RawHttp(discovery.accept());
      assertEquals(watch.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
      watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      // What cannot be read may have said something: it is asked for again.
      for (String bad : List.of("{soup\n\n", "soup\n", "{\"members\":7}\n")) {
        watch.write(chunk(bad));
        assertNull(watch.read());
        watch = new RawHttp(discovery.accept());
        assertEquals(watch.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
        watch.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      }
      String list = list(41, "active") + "\n";
      watch.write(chunk(list.substring(0, 20)) + chunk(list.substring(20)));
      awaitReadiness(client, 200);
      watch.close();
      RawHttp again = new RawHttp(discovery.accept());
      assertEquals(again.read().start(), "GET /api/targets?watch=1&from=41 HTTP/1.1");
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      assertNotNull(new RawHttp(worker.accept()).read());
      again.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      callBack("a", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      again.write(chunk(list(42, "left").replace("true", "false") + "\n"));
      awaitReadiness(client, 503);
    }
  }

  @Test
  public void discoveryMovesWhileTheLastListStaysInForceAndRevisionsStartAnew() throws Exception {
    start(null);
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp other = RawHttp.to(node.address());
        ServerSocket moved = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      RawHttp before = new RawHttp(discovery.accept());
      assertEquals(before.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
      before.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(list(41, "active") + "\n"));
      awaitReadiness(other, 200);
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      node.reload(config(moved.getLocalPort(), null));
      RawHttp after = new RawHttp(moved.accept());
      assertEquals(after.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
      // The old address still counts: its change comes through before the new one has told
      // anything.
      before.write(chunk(list(42, "left").replace("true", "false") + "\n"));
      awaitReadiness(other, 503);
      after.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              + chunk(list(3, "active") + "\n"));
      awaitReadiness(other, 200);
      before.read();
      assertNull(before.read());
      // The job that was out when discovery moved still has its answer.
      callBack("a", "\"state\":\"done\",\"result\":\"soup\"");
      assertEquals(client.read().body(), "soup");
      after.close();
      assertEquals(
          new RawHttp(moved.accept()).read().start(), "GET /api/targets?watch=1&from=3 HTTP/1.1");
    }
  }

  /**
   * Discovery takes connections and says nothing, from before the start; the node serves by the
   * list it knew.
   */
  @Test
  public void twoReloadsWhileDiscoveryIsSilentAndThenAPlannedStopLoseNothing() throws Exception {
    start(config(discovery.getLocalPort(), list(41, "active")), Clock.system());
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp other = RawHttp.to(node.address());
        ServerSocket second = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ServerSocket third = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      RawHttp silent = new RawHttp(discovery.accept());
      silent.read();
      awaitReadiness(other, 200);
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      try (RawHttp worked = new RawHttp(worker.accept())) {
        worked.read();
        node.reload(config(second.getLocalPort(), null));
        assertNull(silent.read(), "a watch that never told a list ends at once");
        RawHttp silentToo = new RawHttp(second.accept());
        silentToo.read();
        node.reload(config(third.getLocalPort(), null));
        assertNull(silentToo.read());
        RawHttp watch = new RawHttp(third.accept());
        assertEquals(watch.read().start(), "GET /api/targets?watch=1 HTTP/1.1");
        awaitReadiness(other, 200);
        watch.write(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + chunk(list(3, "left") + "\n"));
        awaitReadiness(other, 503);
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stop);
        assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
        assertEquals(client.read().body(), "soup");
        stopped.get();
      }
    }
  }

  @Test
  public void stopFinishesWhatWasTakenThoughItsCallBackComesLate() throws Exception {
    start(list(1, "active"));
    try (RawHttp client =
            RawHttp.to(node.address()).write(RawHttp.message(job("POST /api", "a", "order"), ""));
        RawHttp worked = new RawHttp(worker.accept())) {
      // The worker's end is held on to: collected as garbage, it would close, and the job would be
      // over.
      worked.read();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stop);
      // Refused on sight means that the grace is over: nobody is sent the job, and nobody fails it.
      Message late = null;
      for (int i = 0;
          late == null || late.status() != 503 || late.headers().containsKey("Retry-After");
          i++) {
        try (RawHttp other = RawHttp.to(node.address())) {
          String gone = job("POST /api", "n" + i, "order").replace("9000m", "0m");
          late = other.write(RawHttp.message(gone, "")).read();
        } catch (ConnectException over) {
          throw over;
        } catch (SocketException reset) {
          // The grace ended between this connect and its request.
          late = null;
        }
      }
      assertEquals(late.headers().get("Connection"), "close");
      assertEquals(callBack("a", "\"state\":\"done\",\"result\":\"soup\""), 204);
      Message answer = client.read();
      assertEquals(answer.body(), "soup");
      assertEquals(answer.headers().get("Connection"), "close");
      assertNull(client.read());
      stopped.get();
    }
  }
}
