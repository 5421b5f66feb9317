package ferngrade.dispatch;

/**
 * Snapshot of a dispatcher's slot budget and the measurements it is derived from, for operators.
 * Rates are in slots per second and shares range from 0 to 1; a value is NaN while it is unknown.
 *
 * @param slice rate of slots that the dispatcher may start
 * @param demand smoothed rate of slots that clients request
 * @param accepted smoothed rate of slots that workers accepted in time
 * @param rejectedShare smoothed share of attempts that workers rejected or started late
 * @param slotsInFlight slots of the attempts from this dispatcher that are in flight
 * @param fleetSize number of ready and reachable cores, or of workers if no sizes are listed
 * @param fleetBusy part of {@code fleetSize} that is busy according to the endpoint list
 * @param followsLoads true if the slice follows the loads in the endpoint list
 */
public record BudgetState(
    double slice,
    double demand,
    double accepted,
    double rejectedShare,
    double slotsInFlight,
    double fleetSize,
    double fleetBusy,
    boolean followsLoads) {}
