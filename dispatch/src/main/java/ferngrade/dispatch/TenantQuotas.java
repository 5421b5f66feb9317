package ferngrade.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Divides the dispatcher's slice among tenants by weighted water filling, and admits each tenant's
 * requests through a token bucket that is refilled at the rate of its quota. All rates are slots
 * per second. Event thread only.
 */
final class TenantQuotas {
  /** Weight of the newest budget cycle in the smoothed demand. */
  private static final double DEMAND_WEIGHT = 0.4;

  /** Capacity of a tenant's token bucket, in seconds of its quota. */
  private static final double BURST_SECONDS = 0.25;

  /**
   * Amount by which prioritised classes may overdraw the bucket, in seconds of the quota; the other
   * classes of the tenant get correspondingly less.
   */
  private static final double OVERDRAFT_SECONDS = 1;

  /** Weight of a tenant with a share of 0, which receives the slots that no other tenant uses. */
  private static final double MIN_WEIGHT = 1e-6;

  private final List<TenantShare> shares = new ArrayList<>();
  private final double[] weights;
  private boolean demandKnown;

  /**
   * Creates the quotas of these tenants. If the list is empty, a single tenant receives all slots.
   */
  TenantQuotas(List<Tenant> tenants) {
    tenants.forEach(tenant -> shares.add(new TenantShare(Math.max(tenant.share(), MIN_WEIGHT))));
    if (shares.isEmpty()) {
      shares.add(new TenantShare(1));
    }
    this.weights = shares.stream().mapToDouble(share -> share.weight).toArray();
  }

  /** Returns the number of tenants, which is at least one. */
  int size() {
    return shares.size();
  }

  /** Returns the smoothed demand of each tenant. */
  double[] demands() {
    return shares.stream().mapToDouble(share -> share.demand).toArray();
  }

  /**
   * Ends a budget cycle that lasted {@code seconds}: updates the smoothed demands from its
   * requests.
   */
  void endCycle(double seconds) {
    double weight = demandKnown ? DEMAND_WEIGHT : 1;
    demandKnown = true;
    for (TenantShare share : shares) {
      share.demand += weight * (share.requested / seconds - share.demand);
      share.requested = 0;
    }
  }

  /**
   * Sets the tenants' quotas so that the demands, each limited to its quota, use exactly the given
   * slots. The quotas are infinite if all demands fit.
   */
  void divide(double slots) {
    double level = waterLevel(slots, demands(), weights);
    shares.forEach(share -> share.quota = level * share.weight);
  }

  /**
   * Counts the job as demand. Returns true, and takes the job's slots from the tenant's bucket, if
   * the bucket covers the job.
   */
  boolean admit(Job job, ClassPriorities classPriorities, double now) {
    TenantShare share = share(job.tenant());
    share.requested += job.slots();
    if (Double.isInfinite(share.quota)) {
      return true;
    }
    double capacity = Math.max(job.slots(), share.quota * BURST_SECONDS);
    share.tokens = Math.min(capacity, share.tokens + share.quota * (now - share.tokensAt) / 1000);
    share.tokensAt = now;
    boolean mayOverdraw = share.tokens < job.slots() && classPriorities.hasPriority(job.jobClass());
    double overdraft = mayOverdraw ? OVERDRAFT_SECONDS * share.quota : 0;
    if (share.tokens + overdraft < job.slots()) {
      return false;
    }
    share.tokens -= job.slots();
    return true;
  }

  /** Returns true if the tenant's demand exceeds its quota. */
  boolean exceedsQuota(int tenant) {
    TenantShare share = share(tenant);
    return share.demand > share.quota;
  }

  /**
   * Returns the part of the local demand that fits if the given slots are divided among all the
   * given demands, which include the local demand.
   */
  double demandWithin(double slots, double[] demands) {
    double level = waterLevel(slots, demands, weights);
    double fittingDemand = 0;
    for (int i = 0; i < demands.length; i++) {
      double quota = level * shares.get(i).weight;
      fittingDemand += shares.get(i).demand * (quota < demands[i] ? quota / demands[i] : 1);
    }
    return fittingDemand;
  }

  /**
   * Returns the share of a tenant. A tenant number beyond the list of the settings counts as the
   * last tenant.
   */
  private TenantShare share(int tenant) {
    return shares.get(Math.min(tenant, shares.size() - 1));
  }

  /**
   * Computes the weighted water level: the quota per unit of weight at which the demands, each
   * limited to its quota, use exactly the available slots. The level is infinite if all demands
   * fit.
   */
  static double waterLevel(double slots, double[] demands, double[] weights) {
    double slotsLeft = slots;
    double weightLeft = Arrays.stream(weights).sum();
    Integer[] tenantsByDemand = IntStream.range(0, demands.length).boxed().toArray(Integer[]::new);
    Arrays.sort(tenantsByDemand, Comparator.comparingDouble(i -> demands[i] / weights[i]));
    for (int tenant : tenantsByDemand) {
      if (demands[tenant] * weightLeft > slotsLeft * weights[tenant]) {
        return Math.max(0, slotsLeft) / weightLeft;
      }
      slotsLeft -= demands[tenant];
      weightLeft -= weights[tenant];
    }
    return Double.POSITIVE_INFINITY;
  }
}
