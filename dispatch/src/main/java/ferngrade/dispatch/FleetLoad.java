package ferngrade.dispatch;

/**
 * The reachable workers in one budget cycle, by the loads in the endpoint list. {@code size},
 * {@code busy} and {@code queued} are in cores: all, those with a job, and those with a second one
 * waiting; {@code startRate} is this dispatcher's own started slots a second, a fair estimate once
 * {@code startRateKnown}.
 */
record FleetLoad(
    double size, double busy, double queued, double startRate, boolean startRateKnown) {}
