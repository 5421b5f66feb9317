package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Checks the growth and the cuts of a slice if the endpoint list contains no loads, and the share
 * of the fleet if it contains them.
 */
class SlotBudgetTest {
  private static final FleetLoad UNKNOWN_LOAD = new FleetLoad(0, 0, 0, 0, false);

  private static void runCycle(SlotBudget budget, int sent, int rejected, double now) {
    for (int i = 0; i < sent; i++) {
      budget.attemptSent();
    }
    for (int i = 0; i < rejected; i++) {
      budget.attemptRejected();
    }
    budget.endCycle(UNKNOWN_LOAD, 100, 100, 0.5, now);
  }

  @Test
  void cutsSliceAfterRejectionsAndGrowsItWithDemand() {
    SlotBudget budget = new SlotBudget(false);
    assertTrue(Double.isNaN(budget.slice()));
    runCycle(budget, 50, 0, 500);
    assertEquals(151, budget.slice(), 1e-9, "1.5 times the demand plus the minimum slice");
    runCycle(budget, 50, 25, 1_000);
    double cut = budget.slice();
    assertTrue(cut < 151, "the slice after the cut is " + cut);
    runCycle(budget, 50, 0, 1_500);
    assertEquals(1.2 * cut, budget.slice(), 1e-9);
  }

  @Test
  void doesNotCountAttemptFromBeforeLastCutAgain() {
    SlotBudget budget = new SlotBudget(false);
    Attempt earlier = new Attempt(null, 400);
    runCycle(budget, 50, 0, 500);
    assertTrue(budget.sentSinceLastCut(earlier));
    runCycle(budget, 50, 50, 1_000);
    assertFalse(budget.sentSinceLastCut(earlier));
    budget.startDeadlinePassed(earlier);
    assertFalse(earlier.countedLate);
    Attempt waiting = new Attempt(null, 1_000);
    budget.startDeadlinePassed(waiting);
    assertTrue(waiting.countedLate);
  }

  @Test
  void followsShareOfListedLoad() {
    SlotBudget budget = new SlotBudget(true);
    runCycle(budget, 50, 0, 500);
    assertFalse(budget.followsLoads());
    for (int i = 0; i < 30; i++) {
      budget.endCycle(new FleetLoad(100, 80, 0, 40, true), 1_000, 100, 0.5, 1_000 + 500 * i);
    }
    assertTrue(budget.followsLoads());
    assertFalse(budget.congested());
    assertEquals(
        87.5, budget.slice(), 1e-3, "1.75 times 40 slots per second at 80 of 100 cores busy");
    budget.endCycle(new FleetLoad(100, 100, 36, 40, true), 1_000, 100, 0.5, 20_000);
    assertTrue(budget.congested());
  }
}
