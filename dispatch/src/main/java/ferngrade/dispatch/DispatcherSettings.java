package ferngrade.dispatch;

import java.util.List;

/**
 * The configuration of a dispatcher: its number among the {@code dispatchers}, its own zone, the
 * time between batches of events, the classes and tenants, and what the deployment permits. {@code
 * asks}: the worker list comes only to those that {@link Actions#watch watch} it. {@code
 * tellsStart}: workers report the start of each job. {@code liveWeights}: the list's weights are
 * the workers' sizes, each divided by 1 + the jobs that it holds for each core. {@code
 * crossCharge}: the share of a request's worth that crossing zones costs; {@code goal}: the service
 * objective.
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
    Preconditions.that(dispatchers >= 1, "Settings.dispatchers", dispatchers);
    Preconditions.that(me >= 0 && me < dispatchers, "Settings.me", me);
    Preconditions.that(zone >= 0, "Settings.zone", zone);
    Preconditions.that(roundMs >= 0, "Settings.roundMs", roundMs);
    Preconditions.that(classes != null && !classes.isEmpty(), "Settings.classes", classes);
    Preconditions.that(tenants != null, "Settings.tenants", tenants);
    Preconditions.that(limits != null, "Settings.limits", limits);
    Preconditions.that(cold != null, "Settings.cold", cold);
    Preconditions.that(crossCharge >= 0, "Settings.crossCharge", crossCharge);
    Preconditions.that(goal != null, "Settings.goal", goal);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
  }
}
