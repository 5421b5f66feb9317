package ferngrade.discovery;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.http.RawHttp;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the watch of an agent that pushes the worker list, with a clock that the test sets. */
public class DiscoveryWatchTest extends DiscoveryTestBase {
  @Test(timeOut = 30_000)
  public void reopensWatchAfterMissingKeepAliveAndReceivesMissedChanges() throws Exception {
    try (RawHttp first = accept(WHOLE_LIST_REQUEST)) {
      first.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_600;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    advanceAfterWatchEnds(900);
    try (RawHttp reopened = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(loop.submit(node::ready).get(), "the last list stays in use");
      reopened.write(RESPONSE_HEADER + list(43, false, "s-1", "left"));
      awaitReady(false);
      reopened.write(list(44, false, "s-2", "active"));
      awaitReady(true);
    }
  }

  /**
   * Guards against a blocked event loop that closes a watch on an expired timer without reading the
   * data that has arrived on the socket.
   */
  @Test(timeOut = 30_000)
  public void keepsWatchWhenKeepAliveIsUnreadAtTimeout() throws Exception {
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
      loop.submit(
              () -> {
                watch.write(list(43, false, "s-1", "left"));
                now = 2_600;
                timers.run();
                return null;
              })
          .get();
      assertFalse(watchEnded.get(), "the watch has been closed");
      awaitReady(false);
    }
  }

  @Test(timeOut = 30_000)
  public void retriesAfter503AndKeepsLastList() throws Exception {
    try (RawHttp failed = accept(WHOLE_LIST_REQUEST)) {
      failed.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(failed.read());
    }
    advanceAfterWatchEnds(900);
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
    advanceAfterWatchEnds(900);
    try (RawHttp failed = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      failed.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(failed.read());
    }
    assertTrue(loop.submit(node::ready).get(), "the last list stays in use");
  }

  @Test(timeOut = 30_000)
  public void retriesAfterOneSecondWithoutFirstResponse() throws Exception {
    try (RawHttp unresponsive = accept(WHOLE_LIST_REQUEST)) {
      loop.submit(() -> node.updateEndpoints(EndpointListUpdate.STORED, List.of())).get();
      now = 1_100;
      loop.submit(timers::run).get();
      assertNull(unresponsive.read());
    }
    advanceAfterWatchEnds(900);
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER + list(7, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 30_000)
  public void acceptsIndentedListSentByteByByte() throws Exception {
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER);
      String list =
          "{\n"
              + "  \"revision\": 41,\n"
              + "  \"complete\": true,\n"
              + "  \"members\": [\n"
              + "    {\"id\": \"s-{\\\"[\",\n"
              + "     \"host_port\": \"127.0.0.1:9\", \"phase\": \"active\"}\n"
              + "  ]\n"
              + "}\n\n";
      for (int i = 0; i < list.length(); i++) {
        watch.write(chunk(list.substring(i, i + 1)));
      }
      awaitReady(true);
      watch.write(list(42, false, "s-{\\\"[", "left"));
      awaitReady(false);
    }
  }

  @Test(timeOut = 30_000)
  public void ignoresOlderRevisionUntilWholeListArrives() throws Exception {
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(list(43, false, "s-1", "left"));
      awaitReady(false);
      watch.write(list(42, true, "s-1", "active"));
      assertNull(watch.read());
    }
    assertFalse(loop.submit(node::ready).get());
    advanceAfterWatchEnds(900);
    try (RawHttp reopened = accept(WHOLE_LIST_REQUEST)) {
      reopened.write(RESPONSE_HEADER + list(7, true, "s-2", "active"));
      awaitReady(true);
    }
    advanceAfterWatchEnds(900);
    accept("GET /api/targets?watch=1&from=7 HTTP/1.1").close();
  }

  @Test(timeOut = 30_000)
  public void ignoresListInErrorResponseAndAfterEndOfResponse() throws Exception {
    try (RawHttp failed = accept(WHOLE_LIST_REQUEST)) {
      failed.write(
          "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
              + list(41, true, "s-1", "active"));
      assertNull(failed.read());
    }
    assertFalse(loop.submit(node::ready).get());
    advanceAfterWatchEnds(900);
    try (RawHttp completed = accept(WHOLE_LIST_REQUEST)) {
      completed.write(
          RESPONSE_HEADER + "0\r\n\r\n" + RESPONSE_HEADER + list(41, true, "s-1", "active"));
      assertNull(completed.read());
    }
    assertFalse(loop.submit(node::ready).get());
  }

  @Test(timeOut = 30_000)
  public void removesWorkerMissingFromWholeList() throws Exception {
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      watch.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(chunk("{\"revision\":42,\"complete\":true,\"members\":[]}\n"));
      awaitReady(false);
    }
  }

  /**
   * Guards against sending jobs to draining workers: an update counts as delivered when the agent
   * receives it after an outage, so the backoff must stay well below the 250 ms of the drain rule.
   */
  @Test(timeOut = 30_000)
  public void retriesUnresponsiveAgentWithinHundredMillis() throws Exception {
    for (int i = 0; i < 5; i++) {
      try (RawHttp unresponsive = accept(WHOLE_LIST_REQUEST)) {
        advance(1_000);
        loop.submit(timers::run).get();
        assertNull(unresponsive.read());
      }
      advanceAfterWatchEnds(100);
    }
  }

  /**
   * Guards against a late update when a keep-alive timeout, a hanging connect and a missing
   * response follow each other. The time limit starts at the last keep-alive.
   */
  @Test(timeOut = 30_000)
  public void receivesMissedChangeWithinSixSecondsOfLastKeepAlive() throws Exception {
    try (RawHttp first = accept(WHOLE_LIST_REQUEST)) {
      first.write(RESPONSE_HEADER + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_500;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    double start = now;
    advanceAfterWatchEnds(100);
    // The connect timeout of one second runs on the system clock, all other timers run on the clock
    // of the test.
    try (RawHttp unresponsive = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      double end = now + 1_000;
      while (loop.submit(
                  () -> {
                    now = Math.min(end, now + 50);
                    timers.run();
                    return now;
                  })
              .get()
          < end) {
        Thread.onSpinWait();
      }
      assertNull(unresponsive.read());
    }
    advanceAfterWatchEnds(100);
    try (RawHttp reopened = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(
          now - start + 2_500 + 1_000 + 400 <= 6_000,
          "time including a connect of one second and its backoff: " + now);
      reopened.write(RESPONSE_HEADER + list(43, false, "s-1", "left"));
      awaitReady(false);
    }
  }
}
