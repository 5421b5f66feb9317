package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import ferngrade.http.RawHttp;
import ferngrade.http.RawHttp.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Each request that has been read gets an answer, whatever ends its connection; half a request gets
 * one in time.
 */
@Test(timeOut = 30_000)
public class ReadRequestTest extends NodeIntegrationFixture {
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";
  private static final String UNKNOWN_CLASS = RawHttp.message(job("POST /api", "u", "nothing"), "");
  private static final String LAST = "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  private static final String MALFORMED = "soup\r\n\r\n";
  private static final String TOO_LARGE = "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
  private static final String TOO_LARGE_TO_CONTINUE =
      "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n";
  private static final String HALF = "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf";
  private static final String HALF_HEAD = "POST /api HTT";

  /** What comes in one piece, and the answers, after the last of which the connection ends. */
  @DataProvider
  public Object[][] pieces() {
    return new Object[][] {
      {UNKNOWN_CLASS, List.of(400)},
      {UNKNOWN_CLASS + READY, List.of(400, 503)},
      {READY + UNKNOWN_CLASS + READY, List.of(200, 400, 200)},
      {LAST + READY + READY, List.of(200, 503, 503)},
      {MALFORMED, List.of(400)},
      {READY + MALFORMED, List.of(200, 400)},
      {TOO_LARGE, List.of(413)},
      {READY + TOO_LARGE, List.of(200, 413)},
      {TOO_LARGE_TO_CONTINUE, List.of(413)},
      {READY + TOO_LARGE_TO_CONTINUE, List.of(200, 413)},
      {"POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: soup\r\n\r\n", List.of(400)},
      {"POST /api HTTP/1.1\r\nExpect: soup\r\nContent-Length: 0\r\n\r\n", List.of(400)},
    };
  }

  @Test(dataProvider = "pieces")
  public void eachRequestReadInOnePieceIsAnsweredBeforeTheEnd(String piece, List<Integer> answers)
      throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(piece);
      assertEquals(rest(client), answers);
    }
  }

  @Test(dataProvider = "pieces")
  public void eachRequestReadBehindAJobInWorkIsAnsweredBeforeTheEnd(
      String piece, List<Integer> answers) throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      client.write(piece);
      settled();
      callBack("a", DONE);
      assertEquals(client.read().body(), "soup");
      // All of it waits before any answer can end the connection: nothing has to be refused.
      assertEquals(rest(client), answers.stream().map(each -> each == 503 ? 200 : each).toList());
    }
  }

  /**
   * A stop comes while requests wait behind a job in work: they are refused, and then the
   * connection ends.
   */
  @Test
  public void requestsThatWaitAtAStopAreRefusedAndNotDropped() throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(
          RawHttp.message(job("POST /api", "a", "order"), "")
              + RawHttp.message(job("POST /api", "b", "order"), ""));
      new RawHttp(worker.accept()).read();
      settled();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopAtOnce);
      // The second is accepted and read in turns of the loop after that in which the stop began.
      for (int i = 0; i < 2; i++) {
        try (RawHttp other = RawHttp.to(node.address())) {
          awaitReadiness(other, 503);
        }
      }
      callBack("a", DONE);
      assertEquals(client.read().body(), "soup");
      assertEquals(rest(client), List.of(503));
      client.end();
      stopped.get();
    }
  }

  private void stopAtOnce() {
    try {
      node.stop(0);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }

  @DataProvider
  public Object[][] halves() {
    return new Object[][] {{HALF, false}, {HALF_HEAD, false}, {HALF, true}, {HALF_HEAD, true}};
  }

  @Test(dataProvider = "halves")
  public void halfARequestIsAnsweredWithinThreeSecondsAlsoOnAKnownConnection(
      String half, boolean behindAJob) throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write((behindAJob ? RawHttp.message(job("POST /api", "a", "order"), "") : "") + half);
      if (behindAJob) {
        new RawHttp(worker.accept()).read();
        callBack("a", DONE);
        assertEquals(client.read().body(), "soup");
      }
      settled();
      advance(1750);
      assertEquals(rest(client), List.of(408));
    }
  }

  @Test
  public void halfARequestThatHasToGiveUpItsPlaceIsRefused() throws Exception {
    start(list(1, "active"), () -> now);
    List<RawHttp> clients = new ArrayList<>();
    // A quarter of the 26 descriptors that 64 leave for clients may owe a request.
    for (int i = 0; i < 7; i++) {
      clients.add(RawHttp.to(node.address()).write(HALF));
      settled();
    }
    assertEquals(rest(clients.get(0)), List.of(503));
    for (RawHttp each : clients) {
      each.close();
    }
  }

  /** The statuses of all answers up to the connection's end. */
  private static List<Integer> rest(RawHttp client) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (Message answer = client.read(); answer != null; answer = client.read()) {
      statuses.add(answer.status());
    }
    assertNull(client.read());
    return statuses;
  }
}
