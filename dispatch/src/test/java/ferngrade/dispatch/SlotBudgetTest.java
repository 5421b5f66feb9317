package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** The slice without loads in the endpoint list (grow and trim) and with them (share). */
class SlotBudgetTest {
  private static final FleetLoad UNKNOWN = new FleetLoad(0, 0, 0, 0, false);

  private static void cycle(SlotBudget budget, int sent, int rejected, double now) {
    for (int i = 0; i < sent; i++) {
      budget.attemptSent();
    }
    for (int i = 0; i < rejected; i++) {
      budget.attemptRejected();
    }
    budget.endCycle(UNKNOWN, 100, 100, 0.5, now);
  }

  @Test
  void rejectionsTrimTheSliceAndDemandGrowsItAgain() {
    SlotBudget budget = new SlotBudget(false);
    assertTrue(Double.isNaN(budget.slice()));
    cycle(budget, 50, 0, 500);
    assertEquals(151, budget.slice(), 1e-9, "half as much again as the demand, and the floor");
    cycle(budget, 50, 25, 1_000);
    double trimmed = budget.slice();
    assertTrue(trimmed < 151, "trimmed to " + trimmed);
    cycle(budget, 50, 0, 1_500);
    assertEquals(1.2 * trimmed, budget.slice(), 1e-9);
  }

  @Test
  void anAttemptFromBeforeTheLastCutIsNotCountedAgain() {
    SlotBudget budget = new SlotBudget(false);
    Attempt early = new Attempt(null, 400);
    cycle(budget, 50, 0, 500);
    assertTrue(budget.sentSinceLastCut(early));
    cycle(budget, 50, 50, 1_000);
    assertFalse(budget.sentSinceLastCut(early));
    budget.startDeadlinePassed(early);
    assertFalse(early.countedLate);
    Attempt waiting = new Attempt(null, 1_000);
    budget.startDeadlinePassed(waiting);
    assertTrue(waiting.countedLate);
  }

  @Test
  void theSliceFollowsThisDispatchersShareOfTheListedLoad() {
    SlotBudget budget = new SlotBudget(true);
    cycle(budget, 50, 0, 500);
    assertFalse(budget.followsLoads());
    for (int i = 0; i < 30; i++) {
      budget.endCycle(new FleetLoad(100, 80, 0, 40, true), 1_000, 100, 0.5, 1_000 + 500 * i);
    }
    assertTrue(budget.followsLoads());
    assertFalse(budget.congested());
    assertEquals(87.5, budget.slice(), 1e-3, "1.75 times 40 a second of 80 busy cores of 100");
    budget.endCycle(new FleetLoad(100, 100, 36, 40, true), 1_000, 100, 0.5, 20_000);
    assertTrue(budget.congested());
  }
}
