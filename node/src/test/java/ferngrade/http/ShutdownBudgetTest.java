package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.config.NodeConfig;
import ferngrade.server.NodeIntegrationFixture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The phases of a shutdown lie in order, and end before the earliest kill by more than a machine
 * may be held up.
 */
public class ShutdownBudgetTest {
  private static final double SIGNALLED = 1_000_000;
  private static final double HELD_UP = 150;

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
  public void allPhasesFitBetweenTheSignalAndTheEarliestKill(double deadline, double kill)
      throws Exception {
    ShutdownBudget budget = ShutdownBudget.of(SIGNALLED, SIGNALLED, settings(deadline));
    assertTrue(
        budget.acceptUntil() >= SIGNALLED + 400,
        "new connections are accepted as long as they may come");
    assertTrue(budget.answersBy() >= budget.acceptUntil());
    assertTrue(budget.unfinishedUntil() > budget.answersBy());
    assertTrue(budget.end() > budget.unfinishedUntil());
    assertEquals(budget.end(), SIGNALLED + kill - HELD_UP - 50, "held up, and time to write");
  }

  @Test
  public void processThatWasHeldUpCountsTheKillFromTheEarliestSignal() throws Exception {
    double noticed = SIGNALLED + 500;
    ShutdownBudget budget = ShutdownBudget.of(SIGNALLED, noticed, settings(3000));
    assertEquals(budget.end(), SIGNALLED + 3700 - HELD_UP - 50);
    assertTrue(budget.acceptUntil() >= noticed + 400, "the signal may have come late, too");
    ShutdownBudget tight = ShutdownBudget.of(SIGNALLED, noticed, settings(1));
    assertTrue(tight.acceptUntil() <= tight.answersBy(), "the kill comes first");
  }

  @Test
  public void jobIsBegunOnlyIfItsAnswerFitsIntoTheBudget() throws Exception {
    ShutdownBudget budget = ShutdownBudget.of(SIGNALLED, SIGNALLED, settings(1000));
    double late = budget.answersBy() - 10;
    assertTrue(budget.tooLittleFor(late + 1000, late));
    assertFalse(budget.tooLittleFor(late + 5, late), "its own deadline comes first");
    assertFalse(
        budget.tooLittleFor(SIGNALLED + 5000, SIGNALLED), "it is cut short, with enough left");
  }

  private static ferngrade.dispatch.DispatcherSettings settings(double deadline) throws Exception {
    NodeConfig config = NodeIntegrationFixture.config(1, null, "push", deadline);
    return config.settings();
  }
}
