package ferngrade.dispatch;

import ferngrade.dispatch.Dispatcher.Actions;
import java.util.Arrays;

/**
 * Updates the slot budget periodically: measures demand, sets the slice, exchanges slots with
 * peers, and sets the tenants' quotas, in this order. Event thread only.
 */
final class BudgetCycle {
  /**
   * Length of a budget cycle. The shortest overload that matters lasts a few seconds and spans
   * several cycles.
   */
  static final double PERIOD_MS = 500;

  /** Minimum length of a cycle in the computation of rates, which keeps them finite. */
  private static final double MIN_PERIOD_MS = 1;

  private final boolean exchangesWithPeers;
  private final Actions actions;
  private final SlotBudget budget;
  private final TenantQuotas quotas;
  private final ClassPriorities classPriorities;
  private final BudgetDiffusion diffusion;
  private double cycleStartedAt;
  private double demand = Double.NaN;
  private FleetLoad lastLoad = new FleetLoad(Double.NaN, Double.NaN, Double.NaN, Double.NaN, false);

  /** Creates a budget without a slice; the first cycle after {@code now} sets it. */
  BudgetCycle(DispatcherSettings settings, SlotBudget budget, double now, Actions actions) {
    this.exchangesWithPeers = settings.limits().peerMessages();
    this.actions = actions;
    this.budget = budget;
    this.quotas = new TenantQuotas(settings.tenants());
    this.classPriorities = new ClassPriorities(settings.classes(), settings.objective());
    this.diffusion =
        new BudgetDiffusion(settings.dispatcherIndex(), settings.dispatcherCount(), quotas);
    this.cycleStartedAt = now;
  }

  /** Counts a request with this work as demand. Returns true if its tenant's quota admits it. */
  boolean admit(Job job, double work, double now) {
    classPriorities.requestArrived(job.jobClass(), work);
    return quotas.admit(job, classPriorities, now);
  }

  /** Returns true if the tenant's demand exceeds its quota. */
  boolean exceedsQuota(int tenant) {
    return quotas.exceedsQuota(tenant);
  }

  /** Handles a message from a peer; ignores a malformed one. */
  void receive(int sender, byte[] message) {
    diffusion.receive(sender, message);
  }

  /** Ends the current cycle and begins the next one. */
  void run(FleetLoadMeter fleetLoad, double meanWork, double now) {
    double seconds = Math.max(MIN_PERIOD_MS, now - cycleStartedAt) / 1000;
    cycleStartedAt = now;
    diffusion.startCycle();
    quotas.endCycle(seconds);
    classPriorities.endCycle();
    demand = Arrays.stream(quotas.demands()).sum();
    lastLoad = fleetLoad.measure(seconds, now);
    budget.endCycle(lastLoad, meanWork, demand, seconds, now);
    if (exchangesWithPeers && diffusion.peers().length > 0) {
      exchangeWithPeers();
    }
    quotas.divide(budget.slice());
  }

  /**
   * Returns the budget as of the last cycle, with {@code slotsInFlight} as the slots of the
   * attempts in flight.
   */
  BudgetState state(double slotsInFlight) {
    return new BudgetState(
        budget.slice(),
        demand,
        budget.acceptedRate(),
        budget.rejectedShare(),
        slotsInFlight,
        lastLoad.size(),
        lastLoad.busy(),
        budget.followsLoads());
  }

  private void exchangeWithPeers() {
    budget.adjust(diffusion.sliceChange());
    byte[] message = diffusion.message(budget.slice());
    for (int peer : diffusion.peers()) {
      actions.sendToPeer(peer, message);
    }
  }
}
