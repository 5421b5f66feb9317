package ferngrade.discovery;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.http.RawHttp;
import java.util.List;
import org.testng.annotations.Test;

/** A watch of the worker list, on a clock that the story sets. */
public class DiscoveryWatchTest extends DiscoveryStory {
  @Test(timeOut = 30_000)
  public void watchThatMissesOneSignOfLifeIsOpenedAnewAndTellsWhoDiedAndWhoStartedMeanwhile()
      throws Exception {
    try (RawHttp first = accept(WHOLE)) {
      first.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_600;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    passAfterEnd(900);
    try (RawHttp again = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(loop.submit(node::ready).get(), "the last list stays");
      again.write(HEAD + list(43, false, "s-1", "left"));
      awaitReady(false);
      again.write(list(44, false, "s-2", "active"));
      awaitReady(true);
    }
  }

  /** Fails where a loop that was held up ends a watch without reading what it has been told. */
  @Test(timeOut = 30_000)
  public void watchWhoseSignOfLifeLiesUnreadWhenItsTimeIsOverIsKept() throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      loop.submit(
              () -> {
                watch.write(list(43, false, "s-1", "left"));
                now = 2_600;
                timers.run();
                return null;
              })
          .get();
      assertFalse(ended.get(), "the watch has been ended");
      awaitReady(false);
    }
  }

  @Test(timeOut = 30_000)
  public void watchThatEndsIn503IsAskedForAgainAndTheLastListStays() throws Exception {
    try (RawHttp refused = accept(WHOLE)) {
      refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(refused.read());
    }
    passAfterEnd(900);
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
    passAfterEnd(900);
    try (RawHttp refused = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      refused.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
      assertNull(refused.read());
    }
    assertTrue(loop.submit(node::ready).get(), "the last list stays");
  }

  @Test(timeOut = 30_000)
  public void discoverySilentFromBeforeTheStartIsAskedAgainAfterASecond() throws Exception {
    try (RawHttp silent = accept(WHOLE)) {
      loop.submit(() -> node.members(EndpointListUpdate.STORED, List.of())).get();
      now = 1_100;
      loop.submit(timers::run).get();
      assertNull(silent.read());
    }
    passAfterEnd(900);
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(7, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 30_000)
  public void listIndentedOverLinesAndSentByTheByteIsTheSameList() throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD);
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
  public void olderListAfterANewerOneDoesNotBringBackWhoHasLeftUntilTheWholeListSaysSo()
      throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(list(43, false, "s-1", "left"));
      awaitReady(false);
      watch.write(list(42, true, "s-1", "active"));
      assertNull(watch.read());
    }
    assertFalse(loop.submit(node::ready).get());
    passAfterEnd(900);
    try (RawHttp again = accept(WHOLE)) {
      again.write(HEAD + list(7, true, "s-2", "active"));
      awaitReady(true);
    }
    passAfterEnd(900);
    accept("GET /api/targets?watch=1&from=7 HTTP/1.1").close();
  }

  @Test(timeOut = 30_000)
  public void bodyOfARefusalAndWhatComesBehindTheEndOfAnAnswerAreNoLists() throws Exception {
    try (RawHttp refused = accept(WHOLE)) {
      refused.write(
          "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n"
              + list(41, true, "s-1", "active"));
      assertNull(refused.read());
    }
    assertFalse(loop.submit(node::ready).get());
    passAfterEnd(900);
    try (RawHttp ended = accept(WHOLE)) {
      ended.write(HEAD + "0\r\n\r\n" + HEAD + list(41, true, "s-1", "active"));
      assertNull(ended.read());
    }
    assertFalse(loop.submit(node::ready).get());
  }

  @Test(timeOut = 30_000)
  public void wholeListThatLeavesAMemberOutHasItGoneAtOnce() throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      watch.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      watch.write(chunk("{\"revision\":42,\"complete\":true,\"members\":[]}\n"));
      awaitReady(false);
    }
  }

  /**
   * What an agent gets when discovery is back counts as told then: the pauses stay well under the
   * drain rule's 250 ms.
   */
  @Test(timeOut = 30_000)
  public void agentThatStaysSilentIsAskedAgainAfterNoLongerThanATenthOfASecond() throws Exception {
    for (int i = 0; i < 5; i++) {
      try (RawHttp silent = accept(WHOLE)) {
        advance(1_000);
        loop.submit(timers::run).get();
        assertNull(silent.read());
      }
      passAfterEnd(100);
    }
  }

  /**
   * From the last sign of life on, with a dial that hangs and an answer that does not begin in
   * between.
   */
  @Test(timeOut = 30_000)
  public void changeThatASilentWatchMissesIsHeardWithinSixSecondsOfTheSilence() throws Exception {
    try (RawHttp first = accept(WHOLE)) {
      first.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
      now = 2_500;
      loop.submit(timers::run).get();
      assertNull(first.read());
    }
    double began = now;
    passAfterEnd(100);
    // The dial's own limit runs on the machine's clock, a second; the rest on the story's.
    try (RawHttp mute = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      double until = now + 1_000;
      while (loop.submit(
                  () -> {
                    now = Math.min(until, now + 50);
                    timers.run();
                    return now;
                  })
              .get()
          < until) {
        Thread.onSpinWait();
      }
      assertNull(mute.read());
    }
    passAfterEnd(100);
    try (RawHttp again = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      assertTrue(
          now - began + 2_500 + 1_000 + 400 <= 6_000,
          "with a dial of a second and its pause: " + now);
      again.write(HEAD + list(43, false, "s-1", "left"));
      awaitReady(false);
    }
  }
}
