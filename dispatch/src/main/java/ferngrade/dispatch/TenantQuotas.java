package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Divides the dispatcher's slice among tenants by weighted water filling, and admits each tenant's
 * requests through a token bucket filled at its level. All rates are slots a second. Event thread
 * only.
 */
final class TenantQuotas {
  /** Weight of the newest budget cycle in the smoothed demand. */
  private static final double DEMAND_WEIGHT = 0.4;

  /** Seconds of its level that a tenant's token bucket holds. */
  private static final double BURST_S = 0.25;

  /**
   * Seconds of its level by which classes that go first may overdraw the bucket; others pay for it.
   */
  private static final double OVERDRAFT_S = 1;

  /** Weight of a tenant with none, so that it gets what nobody else wants. */
  private static final double MIN_WEIGHT = 1e-6;

  private final List<TenantShare> shares = new ArrayList<>();
  private final double[] weights;
  private boolean demandKnown;

  /** Quotas of these tenants; without any, one tenant has all. */
  TenantQuotas(List<Tenant> tenants) {
    tenants.forEach(each -> shares.add(new TenantShare(Math.max(each.share(), MIN_WEIGHT))));
    if (shares.isEmpty()) {
      shares.add(new TenantShare(1));
    }
    this.weights = shares.stream().mapToDouble(share -> share.weight).toArray();
  }

  /** The number of tenants, at least one. */
  int size() {
    return shares.size();
  }

  /** The smoothed demand of each tenant. */
  double[] demands() {
    return shares.stream().mapToDouble(share -> share.demand).toArray();
  }

  /** Takes what was requested in the budget cycle that ends, which lasted so many seconds. */
  void endCycle(double seconds) {
    double weight = demandKnown ? DEMAND_WEIGHT : 1;
    demandKnown = true;
    for (TenantShare share : shares) {
      share.demand += weight * (share.requested / seconds - share.demand);
      share.requested = 0;
    }
  }

  /** Sets the tenants' levels so that together they use the slots. */
  void divide(double slots) {
    double level = waterLevel(slots, demands(), weights);
    shares.forEach(each -> each.level = level * each.weight);
  }

  /** Counts the job as demand; true if the tenant's bucket covers it, which then pays for it. */
  boolean admit(Job job, ClassPriorities priorities, double now) {
    TenantShare share = share(job.tenant());
    share.requested += job.slots();
    if (Double.isInfinite(share.level)) {
      return true;
    }
    double capacity = Math.max(job.slots(), share.level * BURST_S);
    share.tokens = Math.min(capacity, share.tokens + share.level * (now - share.tokensAt) / 1000);
    share.tokensAt = now;
    boolean overdraws = share.tokens < job.slots() && priorities.goesFirst(job.jobClass());
    double overdraft = overdraws ? OVERDRAFT_S * share.level : 0;
    if (share.tokens + overdraft < job.slots()) {
      return false;
    }
    share.tokens -= job.slots();
    return true;
  }

  /** True if the tenant asks for more than its level. */
  boolean exceedsLevel(int tenant) {
    TenantShare share = share(tenant);
    return share.demand > share.level;
  }

  /**
   * The part of the demand here that fits if these slots are divided among all these demands, which
   * include the demand here.
   */
  double demandWithin(double slots, double[] demands) {
    double level = waterLevel(slots, demands, weights);
    double fitting = 0;
    for (int i = 0; i < demands.length; i++) {
      double quota = level * shares.get(i).weight;
      fitting += shares.get(i).demand * (quota < demands[i] ? quota / demands[i] : 1);
    }
    return fitting;
  }

  /** A tenant beyond the settings' list counts as the last one. */
  private TenantShare share(int tenant) {
    return shares.get(Math.min(tenant, shares.size() - 1));
  }

  /**
   * Weighted water filling: the level a unit of weight at which the demands use up the slots;
   * infinite if all demands fit.
   */
  static double waterLevel(double slots, double[] demands, double[] weights) {
    double slotsLeft = slots;
    double weightLeft = Arrays.stream(weights).sum();
    Integer[] byNeed = IntStream.range(0, demands.length).boxed().toArray(Integer[]::new);
    Arrays.sort(byNeed, Comparator.comparingDouble(i -> demands[i] / weights[i]));
    for (int least : byNeed) {
      if (demands[least] * weightLeft > slotsLeft * weights[least]) {
        return Math.max(0, slotsLeft) / weightLeft;
      }
      slotsLeft -= demands[least];
      weightLeft -= weights[least];
    }
    return Double.POSITIVE_INFINITY;
  }
}
