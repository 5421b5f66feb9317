package ferngrade.discovery;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A discovery that is one service for all nodes, works through calls in turn, and may be crowded or
 * down.
 */
public class DiscoveryAskedTest extends DiscoveryStory {
  private static final double FIRST_PATIENCE = 1_000;
  private static final double LONGEST_PATIENCE = 3_000;
  private static final double LONGEST_PAUSE = 500;
  private static final String REFUSED =
      "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

  @Override
  DiscoveryWatch.Mode mode() {
    return DiscoveryWatch.Mode.ASKED;
  }

  /**
   * Calls that go unanswered first, and how long the next one takes to be answered, ms: the pause
   * before it may have gone on for half a second after it was made.
   */
  @DataProvider
  public Object[][] crowds() {
    return new Object[][] {{0, 400}, {1, 1_400}, {2, 2_400}, {6, 2_400}};
  }

  @Test(dataProvider = "crowds", timeOut = 5_000)
  public void listComesThroughThoughEachCallTakesLongerThanASecond(int unanswered, double answer)
      throws Exception {
    leaveUnanswered(unanswered);
    try (RawHttp call = accept(WHOLE)) {
      pass(answer);
      call.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  /**
   * What discovery has counts as told 6 s after it could be reached: a call made just before has to
   * end well before.
   */
  @Test(dataProvider = "crowds", timeOut = 5_000)
  public void nextCallIsMadeWithinFourSecondsOfTheLastHoweverManyWentUnanswered(
      int unanswered, double answer) throws Exception {
    leaveUnanswered(unanswered);
    try (RawHttp call = accept(WHOLE)) {
      double began = now;
      pass(LONGEST_PATIENCE);
      assertNull(call.read());
      passAfterEnd(LONGEST_PAUSE);
      accept(WHOLE).close();
      assertTrue(now - began <= 4_000, "after " + (now - began));
    }
  }

  @Test(timeOut = 5_000)
  public void oneAnswerBringsTheFirstPatienceBack() throws Exception {
    leaveUnanswered(2);
    try (RawHttp call = accept(WHOLE)) {
      call.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
    passAfterEnd(LONGEST_PAUSE);
    try (RawHttp call = accept("GET /api/targets?watch=1&from=41 HTTP/1.1")) {
      pass(FIRST_PATIENCE);
      assertNull(call.read());
    }
    assertTrue(loop.submit(node::ready).get(), "the last list stays");
  }

  @DataProvider
  public Object[][] refusals() {
    return new Object[][] {
      {REFUSED}, {""}, {"HTTP/1.1 503"}, {HEAD + "0\r\n\r\n"}, {HEAD + "4\r\n{\"re"}
    };
  }

  @Test(dataProvider = "refusals", timeOut = 5_000)
  public void discoveryThatRefusesForAWhileIsAskedOnAndItsFirstListCounts(String refusal)
      throws Exception {
    for (int i = 0; i < 8; i++) {
      try (RawHttp call = accept(WHOLE)) {
        call.write(refusal);
      }
      passAfterEnd(LONGEST_PAUSE);
    }
    assertFalse(loop.submit(node::ready).get());
    try (RawHttp call = accept(WHOLE)) {
      call.write(HEAD + list(41, true, "s-1", "active"));
      awaitReady(true);
    }
  }

  @Test(timeOut = 5_000)
  public void listThatBeginsLateAndComesByTheByteIsTaken() throws Exception {
    try (RawHttp call = accept(WHOLE)) {
      pass(FIRST_PATIENCE - 150);
      call.write(HEAD);
      String text =
          "{\"revision\":41,\n"
              + "\"members\":[{\"id\":\"s\",\"host_port\":\"127.0.0.1:9\",\"phase\":\"active\"}]}\n";
      for (int i = 0; i < text.length(); i++) {
        call.write(chunk(text.substring(i, i + 1)));
        pass(1);
      }
      awaitReady(true);
    }
  }

  private void leaveUnanswered(int calls) throws Exception {
    for (int i = 0; i < calls; i++) {
      try (RawHttp call = accept(WHOLE)) {
        pass(LONGEST_PATIENCE);
        assertNull(call.read());
      }
      passAfterEnd(LONGEST_PAUSE);
    }
  }
}
