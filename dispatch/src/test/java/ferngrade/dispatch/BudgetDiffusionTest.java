package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What two neighbours move between them, and how long a message counts. */
class BudgetDiffusionTest {
  private static BudgetDiffusion dispatcher(int me, int demand) {
    TenantQuotas quotas = new TenantQuotas(List.of());
    ClassPriorities priorities =
        new ClassPriorities(
            List.of(Fixture.jobClass(Idempotency.SAFE, IdempotencyScope.ALL)),
            new ServiceObjective(1, 0));
    for (int i = 0; i < demand; i++) {
      quotas.admit(Fixture.job("r" + i, 0, 5_000), priorities, 0);
    }
    quotas.endCycle(1);
    return new BudgetDiffusion(me, 2, quotas);
  }

  @Test
  void bothEndsOfALinkMoveByTheSameAmount() {
    BudgetDiffusion busy = dispatcher(0, 60);
    BudgetDiffusion idle = dispatcher(1, 20);
    idle.receive(0, busy.message(40));
    busy.receive(1, idle.message(40));
    assertEquals(
        10, busy.sliceChange(), 1e-9, "half of 20 unused slots; alone, busy can keep only its 40");
    assertEquals(-10, idle.sliceChange(), 1e-9);
  }

  @Test
  void messagesOfStrangersAndOldOnesCountForNothing() {
    BudgetDiffusion one = dispatcher(0, 60);
    byte[] message = dispatcher(1, 20).message(40);
    one.message(40);
    one.receive(7, message);
    one.receive(1, new byte[] {1, 2, 3});
    assertEquals(0, one.sliceChange());
    one.receive(1, message);
    for (int cycle = 0; cycle < 3; cycle++) {
      one.startCycle();
      assertEquals(10, one.sliceChange(), 1e-9, "cycle " + cycle);
    }
    one.startCycle();
    assertEquals(0, one.sliceChange());
  }
}
