package ferngrade.dispatch;

import java.util.List;

/**
 * The configuration of a dispatcher.
 *
 * @param me zero-based number of this dispatcher
 * @param dispatchers number of dispatchers
 * @param zone zone of this dispatcher
 * @param roundMs time between batches of events, ms
 * @param classes the job classes
 * @param tenants the tenants
 * @param limits the operations that the deployment permits
 * @param cold the behaviour of workers that are warming up
 * @param asks true if the dispatcher receives the endpoint list only after it calls {@link
 *     Dispatcher.Actions#watchEndpoints}
 * @param tellsStart true if workers report the start of each job
 * @param liveWeights true if the endpoint list's weight of a worker is its size divided by 1 + its
 *     jobs per core
 * @param crossCharge share of a request's value that is lost by crossing zones
 * @param goal the service objective
 */
public record DispatcherSettings(
    int me,
    int dispatchers,
    int zone,
    double roundMs,
    List<JobClass> classes,
    List<Tenant> tenants,
    DeploymentLimits limits,
    SlowStartPolicy cold,
    boolean asks,
    boolean tellsStart,
    boolean liveWeights,
    double crossCharge,
    ServiceObjective goal) {
  public DispatcherSettings {
    Preconditions.checkRange(dispatchers >= 1, "Settings.dispatchers", dispatchers);
    Preconditions.checkRange(me >= 0 && me < dispatchers, "Settings.me", me);
    Preconditions.checkRange(zone >= 0, "Settings.zone", zone);
    Preconditions.checkRange(roundMs >= 0, "Settings.roundMs", roundMs);
    Preconditions.checkRange(classes != null && !classes.isEmpty(), "Settings.classes", classes);
    Preconditions.checkRange(tenants != null, "Settings.tenants", tenants);
    Preconditions.checkRange(limits != null, "Settings.limits", limits);
    Preconditions.checkRange(cold != null, "Settings.cold", cold);
    Preconditions.checkRange(crossCharge >= 0, "Settings.crossCharge", crossCharge);
    Preconditions.checkRange(goal != null, "Settings.goal", goal);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
  }
}
