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
 * Guards against requests that are read but never answered because their connection is closed, and
 * against partial requests that never time out.
 */
@Test(timeOut = 30_000)
public class ReadRequestTest extends NodeIntegrationFixture {
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";
  private static final String UNKNOWN_CLASS =
      RawHttp.message(jobHead("POST /api", "u", "nothing"), "");
  private static final String LAST_REQUEST = "GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
  private static final String MALFORMED = "soup\r\n\r\n";
  private static final String TOO_LARGE = "POST /api HTTP/1.1\r\nContent-Length: 70000\r\n\r\n";
  private static final String TOO_LARGE_TO_CONTINUE =
      "POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n";
  private static final String PARTIAL_BODY = "POST /api HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf";
  private static final String PARTIAL_HEAD = "POST /api HTT";

  /**
   * Input that arrives at once, and the statuses of the answers before the connection is closed.
   */
  @DataProvider
  public Object[][] inputs() {
    return new Object[][] {
      {UNKNOWN_CLASS, List.of(400)},
      {UNKNOWN_CLASS + READY, List.of(400, 503)},
      {READY + UNKNOWN_CLASS + READY, List.of(200, 400, 200)},
      {LAST_REQUEST + READY + READY, List.of(200, 503, 503)},
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

  @Test(dataProvider = "inputs")
  public void answersEachRequestBeforeClosing(String input, List<Integer> answers)
      throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(input);
      assertEquals(readStatuses(client), answers);
    }
  }

  @Test(dataProvider = "inputs")
  public void answersEachRequestPipelinedAfterAJobBeforeClosing(String input, List<Integer> answers)
      throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      new RawHttp(worker.accept()).read();
      client.write(input);
      awaitSettled();
      sendCallback("a", DONE);
      assertEquals(client.read().body(), "soup");
      // All requests wait before any answer can close the connection, so none is rejected.
      assertEquals(
          readStatuses(client),
          answers.stream().map(status -> status == 503 ? 200 : status).toList());
    }
  }

  /**
   * Guards against dropping requests that wait behind a job when the node stops: they are rejected
   * before the connection is closed.
   */
  @Test
  public void rejectsWaitingRequestsAtStop() throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(
          RawHttp.message(jobHead("POST /api", "a", "order"), "")
              + RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      new RawHttp(worker.accept()).read();
      awaitSettled();
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(this::stopAtOnce);
      // The event loop accepts and reads the second client only in turns after the start of the
      // stop.
      for (int i = 0; i < 2; i++) {
        try (RawHttp other = RawHttp.connect(node.address())) {
          awaitReadyStatus(other, 503);
        }
      }
      sendCallback("a", DONE);
      assertEquals(client.read().body(), "soup");
      assertEquals(readStatuses(client), List.of(503));
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
  public Object[][] partialRequests() {
    return new Object[][] {
      {PARTIAL_BODY, false}, {PARTIAL_HEAD, false}, {PARTIAL_BODY, true}, {PARTIAL_HEAD, true}
    };
  }

  @Test(dataProvider = "partialRequests")
  public void partialRequestTimesOutWithinThreeSeconds(String partial, boolean behindAJob)
      throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(
          (behindAJob ? RawHttp.message(jobHead("POST /api", "a", "order"), "") : "") + partial);
      if (behindAJob) {
        new RawHttp(worker.accept()).read();
        sendCallback("a", DONE);
        assertEquals(client.read().body(), "soup");
      }
      awaitSettled();
      advance(1750);
      assertEquals(readStatuses(client), List.of(408));
    }
  }

  @Test
  public void rejectsPartialRequestThatIsDisplaced() throws Exception {
    start(endpointList(1, "active"), () -> now);
    List<RawHttp> clients = new ArrayList<>();
    // Of 64 descriptors 26 are for clients, and a quarter of those may have a request outstanding.
    for (int i = 0; i < 7; i++) {
      clients.add(RawHttp.connect(node.address()).write(PARTIAL_BODY));
      awaitSettled();
    }
    assertEquals(readStatuses(clients.get(0)), List.of(503));
    for (RawHttp client : clients) {
      client.close();
    }
  }

  /** Returns the statuses of all answers until the connection is closed. */
  private static List<Integer> readStatuses(RawHttp client) throws Exception {
    List<Integer> statuses = new ArrayList<>();
    for (Message answer = client.read(); answer != null; answer = client.read()) {
      statuses.add(answer.status());
    }
    assertNull(client.read());
    return statuses;
  }
}
