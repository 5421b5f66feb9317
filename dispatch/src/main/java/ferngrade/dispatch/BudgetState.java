package ferngrade.dispatch;

/**
 * The slot budget of a dispatcher and what it was learned from, for operators. Rates are slots a
 * second, shares 0 to 1; NaN where nothing is known yet.
 *
 * @param slice what may be started
 * @param demand what clients ask for, smoothed
 * @param accepted what workers accepted in time, smoothed
 * @param rejectedShare the share of attempts that workers rejected or started late, smoothed
 * @param heldSlots slots of the attempts in flight from here
 * @param fleetSize cores, or workers where no sizes are listed, that are ready and reachable
 * @param fleetBusy those of them that the endpoint list shows as busy
 * @param followsLoads true if the slice follows the loads in the endpoint list
 */
public record BudgetState(
    double slice,
    double demand,
    double accepted,
    double rejectedShare,
    double heldSlots,
    double fleetSize,
    double fleetBusy,
    boolean followsLoads) {}
