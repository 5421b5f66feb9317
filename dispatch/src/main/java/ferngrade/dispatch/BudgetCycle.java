package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.Arrays;

/**
 * The periodic update of the slot budget: demand, slice, exchange with peers, and the tenants'
 * levels, in this order. Owns these parts. Event thread only.
 */
final class BudgetCycle {
  /** Cycle of the budget: several fit into the shortest overload that matters, a few seconds. */
  static final double PERIOD_MS = 500;

  /** The least that a cycle counts as, so that rates stay finite. */
  private static final double MIN_CYCLE_MS = 1;

  private final boolean peersAllowed;
  private final Actions actions;
  private final SlotBudget budget;
  private final TenantQuotas quotas;
  private final ClassPriorities priorities;
  private final BudgetDiffusion diffusion;
  private double lastCycleAt;
  private double demand = Double.NaN;
  private FleetLoad load = new FleetLoad(Double.NaN, Double.NaN, Double.NaN, Double.NaN, false);

  /** Begins at {@code now} without a slice; the first cycle sets one. */
  BudgetCycle(DispatcherSettings settings, SlotBudget budget, double now, Actions actions) {
    this.peersAllowed = settings.limits().peers();
    this.actions = actions;
    this.budget = budget;
    this.quotas = new TenantQuotas(settings.tenants());
    this.priorities = new ClassPriorities(settings.classes(), settings.goal());
    this.diffusion = new BudgetDiffusion(settings.me(), settings.dispatchers(), quotas);
    this.lastCycleAt = now;
  }

  /** Counts a request of this work as demand; true if its tenant's quota admits it. */
  boolean admit(Job job, double work, double now) {
    priorities.requestArrived(job.jobClass(), work);
    return quotas.admit(job, priorities, now);
  }

  /** True if the tenant asks for more than its quota. */
  boolean exceedsQuota(int tenant) {
    return quotas.exceedsLevel(tenant);
  }

  /** Takes a peer's message; a malformed one is ignored. */
  void receive(int from, byte[] message) {
    diffusion.receive(from, message);
  }

  /** Ends a cycle and begins the next. */
  void run(FleetLoadMeter fleetLoad, double meanWork, double now) {
    double seconds = Math.max(MIN_CYCLE_MS, now - lastCycleAt) / 1000;
    lastCycleAt = now;
    diffusion.startCycle();
    quotas.endCycle(seconds);
    priorities.endCycle();
    demand = Arrays.stream(quotas.demands()).sum();
    load = fleetLoad.measure(seconds, now);
    budget.endCycle(load, meanWork, demand, seconds, now);
    if (peersAllowed && diffusion.peers().length > 0) {
      exchangeWithPeers();
    }
    quotas.divide(budget.slice());
  }

  /** The budget as of the last cycle, with the slots that attempts hold now. */
  BudgetState state(double heldSlots) {
    return new BudgetState(
        budget.slice(),
        demand,
        budget.acceptedRate(),
        budget.rejectedShare(),
        heldSlots,
        load.size(),
        load.busy(),
        budget.followsLoads());
  }

  private void exchangeWithPeers() {
    budget.move(diffusion.step());
    byte[] message = diffusion.message(budget.slice());
    for (int peer : diffusion.peers()) {
      actions.tell(peer, message);
    }
  }
}
