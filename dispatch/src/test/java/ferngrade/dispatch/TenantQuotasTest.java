package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks quotas by weight, token buckets, and the overdraft of classes with priority. */
class TenantQuotasTest {
  private static final ServiceObjective TOTAL_VALUE_ONLY = new ServiceObjective(1, 0);

  private static JobClass jobClass(double value) {
    return new JobClass(
        "job", Idempotency.SAFE, IdempotencyScope.ALL, 0, 100, 2, 5_000, value, 0, -1, 0);
  }

  private static Job job(int jobClass, int tenant) {
    return new Job("r", jobClass, tenant, 5_000, 0, 1, 0, 0);
  }

  private static int admitted(TenantQuotas quotas, int tenant, int requests, double now) {
    ClassPriorities equalPriorities = new ClassPriorities(List.of(jobClass(1)), TOTAL_VALUE_ONLY);
    int admitted = 0;
    for (int i = 0; i < requests; i++) {
      admitted += quotas.admit(job(0, tenant), equalPriorities, now) ? 1 : 0;
    }
    return admitted;
  }

  @Test
  void dividesScarceSlotsByWeight() {
    TenantQuotas quotas = new TenantQuotas(List.of(new Tenant("a", 3, 0), new Tenant("b", 1, 0)));
    assertEquals(100, admitted(quotas, 0, 100, 0), "unlimited before the first division");
    assertEquals(100, admitted(quotas, 1, 100, 0), "unlimited before the first division");
    quotas.endCycle(1);
    quotas.divide(80);
    assertEquals(15, admitted(quotas, 0, 100, 10_000), "a quarter of a second at 60 per second");
    assertEquals(5, admitted(quotas, 1, 100, 10_000), "a quarter of a second at 20 per second");
    assertTrue(quotas.exceedsQuota(0));
    assertEquals(80, quotas.demandWithin(80, quotas.demands()), 1e-9);
  }

  @Test
  void refillsTokenBucketOverTime() {
    TenantQuotas quotas = new TenantQuotas(List.of());
    assertEquals(1, quotas.size(), "a single tenant receives all slots");
    admitted(quotas, 0, 100, 0);
    quotas.endCycle(1);
    quotas.divide(40);
    assertEquals(10, admitted(quotas, 0, 100, 10_000));
    assertEquals(4, admitted(quotas, 0, 100, 10_100), "40 per second for 100 ms");
  }

  @Test
  void allowsClassWithPriorityToOverdrawBucket() {
    ClassPriorities priorities =
        new ClassPriorities(List.of(jobClass(1), jobClass(5)), TOTAL_VALUE_ONLY);
    priorities.requestArrived(0, 100);
    priorities.requestArrived(1, 100);
    assertFalse(priorities.hasPriority(0));
    assertTrue(priorities.hasPriority(1));
    TenantQuotas quotas = new TenantQuotas(List.of());
    admitted(quotas, 0, 100, 0);
    quotas.endCycle(1);
    quotas.divide(40);
    admitted(quotas, 0, 100, 10_000);
    assertFalse(quotas.admit(job(0, 0), priorities, 10_000));
    assertTrue(quotas.admit(job(1, 0), priorities, 10_000));
  }
}
