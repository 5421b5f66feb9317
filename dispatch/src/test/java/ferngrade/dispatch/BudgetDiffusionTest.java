package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Checks the number of slots that two neighbours move between them, and how long a message remains
 * valid.
 */
class BudgetDiffusionTest {
  private static BudgetDiffusion dispatcher(int index, int demand) {
    TenantQuotas quotas = new TenantQuotas(List.of());
    ClassPriorities priorities =
        new ClassPriorities(
            List.of(Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
            new ServiceObjective(1, 0));
    for (int i = 0; i < demand; i++) {
      quotas.admit(Fixture.job("r" + i, 0, 5_000), priorities, 0);
    }
    quotas.endCycle(1);
    return new BudgetDiffusion(index, 2, quotas);
  }

  @Test
  void bothEndsOfALinkChangeByOppositeAmounts() {
    BudgetDiffusion busy = dispatcher(0, 60);
    BudgetDiffusion idle = dispatcher(1, 20);
    idle.receive(0, busy.message(40));
    busy.receive(1, idle.message(40));
    assertEquals(
        10,
        busy.sliceChange(),
        1e-9,
        "half of the 20 unused slots; without its peer, busy could use only its own 40");
    assertEquals(-10, idle.sliceChange(), 1e-9);
  }

  @Test
  void ignoresMessagesOfOtherDispatchersMalformedAndExpiredOnes() {
    BudgetDiffusion diffusion = dispatcher(0, 60);
    byte[] message = dispatcher(1, 20).message(40);
    diffusion.message(40);
    diffusion.receive(7, message);
    diffusion.receive(1, new byte[] {1, 2, 3});
    assertEquals(0, diffusion.sliceChange());
    diffusion.receive(1, message);
    for (int cycle = 0; cycle < 3; cycle++) {
      diffusion.startCycle();
      assertEquals(10, diffusion.sliceChange(), 1e-9, "cycle " + cycle);
    }
    diffusion.startCycle();
    assertEquals(0, diffusion.sliceChange());
  }
}
