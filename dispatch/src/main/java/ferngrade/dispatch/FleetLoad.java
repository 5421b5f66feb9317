package ferngrade.dispatch;

/**
 * The load of the reachable workers in one budget cycle, derived from the endpoint list.
 *
 * @param size number of cores
 * @param busy number of cores that run a job
 * @param queued number of jobs queued behind busy cores, at most one per core
 * @param startRate slots per second started by this dispatcher
 * @param startRateKnown true once {@code startRate} is based on enough cycles
 */
record FleetLoad(
    double size, double busy, double queued, double startRate, boolean startRateKnown) {}
