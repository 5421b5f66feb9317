package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.config.NodeConfig;
import ferngrade.server.NodeIntegrationFixture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that the phases of a shutdown are in order, and that they end before the earliest kill by
 * more than the time for which a machine may hold up the process.
 */
public class ShutdownBudgetTest {
  private static final double SIGNAL_TIME = 1_000_000;
  private static final double MAX_PAUSE_MILLIS = 150;

  @DataProvider
  public Object[][] deadlines() {
    return new Object[][] {
      {1, 701},
      {20, 720},
      {150, 850},
      {300, 1000},
      {1000, 1700},
      {3000, 3700},
      {4000, 3700},
      {10_000, 3700}
    };
  }

  @Test(dataProvider = "deadlines")
  public void fitsAllPhasesBetweenTheSignalAndTheEarliestKill(double deadline, double earliestKill)
      throws Exception {
    ShutdownBudget budget = ShutdownBudget.of(SIGNAL_TIME, SIGNAL_TIME, settings(deadline));
    assertTrue(
        budget.acceptUntil() >= SIGNAL_TIME + 400,
        "new connections are accepted as long as they may arrive");
    assertTrue(budget.answersBy() >= budget.acceptUntil());
    assertTrue(budget.partialRequestsUntil() > budget.answersBy());
    assertTrue(budget.end() > budget.partialRequestsUntil());
    assertEquals(
        budget.end(),
        SIGNAL_TIME + earliestKill - MAX_PAUSE_MILLIS - 50,
        "leaves time for a pause and for writing the answers");
  }

  @Test
  public void countsTheKillFromTheEarliestSignalInAProcessThatWasHeldUp() throws Exception {
    double noticedAt = SIGNAL_TIME + 500;
    ShutdownBudget budget = ShutdownBudget.of(SIGNAL_TIME, noticedAt, settings(3000));
    assertEquals(budget.end(), SIGNAL_TIME + 3700 - MAX_PAUSE_MILLIS - 50);
    assertTrue(budget.acceptUntil() >= noticedAt + 400, "the signal may also have arrived late");
    ShutdownBudget shortBudget = ShutdownBudget.of(SIGNAL_TIME, noticedAt, settings(1));
    assertTrue(
        shortBudget.acceptUntil() <= shortBudget.answersBy(),
        "the earliest kill limits the time for accepting");
  }

  @Test
  public void rejectsAJobWhoseAnswerDoesNotFitIntoTheBudget() throws Exception {
    ShutdownBudget budget = ShutdownBudget.of(SIGNAL_TIME, SIGNAL_TIME, settings(1000));
    double shortBeforeTheEnd = budget.answersBy() - 10;
    assertTrue(budget.tooShortFor(shortBeforeTheEnd + 1000, shortBeforeTheEnd));
    assertFalse(
        budget.tooShortFor(shortBeforeTheEnd + 5, shortBeforeTheEnd),
        "the deadline of the job ends before the budget");
    assertFalse(
        budget.tooShortFor(SIGNAL_TIME + 5000, SIGNAL_TIME),
        "the deadline is shortened, but enough time remains");
  }

  private static ferngrade.dispatch.DispatcherSettings settings(double deadline) throws Exception {
    NodeConfig config = NodeIntegrationFixture.config(1, null, "push", deadline);
    return config.settings();
  }
}
