package ferngrade.dispatch;

import java.util.List;

/**
 * The configuration of a dispatcher.
 *
 * @param dispatcherIndex zero-based number of this dispatcher
 * @param dispatcherCount number of dispatchers
 * @param zone zone of this dispatcher
 * @param eventBatchIntervalMs time between batches of events, ms
 * @param classes the job classes
 * @param tenants the tenants
 * @param limits the operations that the deployment permits
 * @param slowStart the behaviour of workers that are warming up
 * @param watchesEndpoints true if the dispatcher receives the endpoint list only after it calls
 *     {@link Dispatcher.Actions#watchEndpoints}
 * @param workersReportStart true if workers report the start of each job
 * @param weightsIncludeLoad true if the endpoint list's weight of a worker is its size divided by
 *     (1 + its jobs per core)
 * @param crossZoneCost share of a request's value that is lost by crossing zones
 * @param objective the service objective
 */
public record DispatcherSettings(
    int dispatcherIndex,
    int dispatcherCount,
    int zone,
    double eventBatchIntervalMs,
    List<JobClass> classes,
    List<Tenant> tenants,
    DeploymentLimits limits,
    SlowStartPolicy slowStart,
    boolean watchesEndpoints,
    boolean workersReportStart,
    boolean weightsIncludeLoad,
    double crossZoneCost,
    ServiceObjective objective) {
  public DispatcherSettings {
    Preconditions.checkRange(dispatcherCount >= 1, "Settings.dispatchers", dispatcherCount);
    Preconditions.checkRange(
        dispatcherIndex >= 0 && dispatcherIndex < dispatcherCount, "Settings.me", dispatcherIndex);
    Preconditions.checkRange(zone >= 0, "Settings.zone", zone);
    Preconditions.checkRange(eventBatchIntervalMs >= 0, "Settings.roundMs", eventBatchIntervalMs);
    Preconditions.checkRange(classes != null && !classes.isEmpty(), "Settings.classes", classes);
    Preconditions.checkRange(tenants != null, "Settings.tenants", tenants);
    Preconditions.checkRange(limits != null, "Settings.limits", limits);
    Preconditions.checkRange(slowStart != null, "Settings.cold", slowStart);
    Preconditions.checkRange(crossZoneCost >= 0, "Settings.crossCharge", crossZoneCost);
    Preconditions.checkRange(objective != null, "Settings.goal", objective);
    classes = List.copyOf(classes);
    tenants = List.copyOf(tenants);
  }
}
