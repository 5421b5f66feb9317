package ferngrade.discovery;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the watch of a discovery service that serves all nodes, processes requests from a queue,
 * and may be overloaded or down.
 */
public class DiscoveryPollingTest extends DiscoveryTestBase {
  private static final double INITIAL_RESPONSE_TIMEOUT_MILLIS = 1_000;
  private static final double MAX_RESPONSE_TIMEOUT_MILLIS = 3_000;
  private static final double MAX_BACKOFF_MILLIS = 500;
  private static final String SERVICE_UNAVAILABLE =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

  @Override
  DiscoveryWatch.Mode mode() {
    return DiscoveryWatch.Mode.ASKED;
  }

  /**
   * Rows with the number of requests that time out, and the response time of the request after
   * them, in ms. The test may accept that request up to half a second after the node has sent it.
   */
  @DataProvider
  public Object[][] slowResponses() {
    return new Object[][] {{0, 400}, {1, 1_400}, {2, 2_400}, {6, 2_400}};
  }

  @Test(dataProvider = "slowResponses", timeOut = 5_000)
  public void acceptsListFromSlowResponseAfterTimeouts(int timeouts, double responseMillis)
      throws Exception {
    timeOutRequests(timeouts);
    try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
      advanceAndRunTimers(responseMillis);
      request.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  /**
   * Guards against a late update: a change must be in effect 6 s after discovery becomes reachable,
   * so a request sent just before that moment has to time out well within the 6 s.
   */
  @Test(dataProvider = "slowResponses", timeOut = 5_000)
  public void sendsNextRequestWithinFourSecondsAfterAnyNumberOfTimeouts(
      int timeouts, double responseMillis) throws Exception {
    timeOutRequests(timeouts);
    try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
      double start = now;
      advanceAndRunTimers(MAX_RESPONSE_TIMEOUT_MILLIS);
      assertNull(request.read());
      advanceAfterWatchEnds(MAX_BACKOFF_MILLIS);
      accept(WHOLE_LIST_REQUEST).close();
      assertTrue(now - start <= 4_000, "milliseconds until the next request: " + (now - start));
    }
  }

  @Test(timeOut = 5_000)
  public void resetsResponseTimeoutAfterResponse() throws Exception {
    timeOutRequests(2);
    try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
      request.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
    advanceAfterWatchEnds(MAX_BACKOFF_MILLIS);
    try (RawHttp request = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      advanceAndRunTimers(INITIAL_RESPONSE_TIMEOUT_MILLIS);
      assertNull(request.read());
    }
    assertTrue(loop.submit(node::ready).get(), "the last list stays in use");
  }

  @DataProvider
  public Object[][] failedResponses() {
    return new Object[][] {
      {SERVICE_UNAVAILABLE},
      {""},
      {"HTTP/1.1 503"},
      {RESPONSE_HEADER + "0\r\n\r\n"},
      {RESPONSE_HEADER + "4\r\n{\"re"}
    };
  }

  @Test(dataProvider = "failedResponses", timeOut = 5_000)
  public void retriesAfterFailedResponsesAndAcceptsFirstList(String response) throws Exception {
    for (int i = 0; i < 8; i++) {
      try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
        request.write(response);
      }
      advanceAfterWatchEnds(MAX_BACKOFF_MILLIS);
    }
    assertFalse(loop.submit(node::ready).get());
    try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
      request.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 5_000)
  public void acceptsLateListSentByteByByte() throws Exception {
    try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
      advanceAndRunTimers(INITIAL_RESPONSE_TIMEOUT_MILLIS - 150);
      request.write(RESPONSE_HEADER);
      String text =
          "{\"revision\":41,\n"
              + "\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:9\",\"phase\":\"active\"}]}\n";
      for (int i = 0; i < text.length(); i++) {
        request.write(chunk(text.substring(i, i + 1)));
        advanceAndRunTimers(1);
      }
      awaitReady(true);
    }
  }

  private void timeOutRequests(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      try (RawHttp request = accept(WHOLE_LIST_REQUEST)) {
        advanceAndRunTimers(MAX_RESPONSE_TIMEOUT_MILLIS);
        assertNull(request.read());
      }
      advanceAfterWatchEnds(MAX_BACKOFF_MILLIS);
    }
  }
}
