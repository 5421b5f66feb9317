package ferngrade.dispatch;

/**
 * One entry of the endpoint list.
 *
 * @param startedAt start of the worker's process in ms, 0 if it started long ago
 * @param workerType index of the worker's type
 * @param cell group of workers that share idempotency keys
 * @param weight size of the worker in cores, divided by (1 + its jobs per core) if the list
 *     includes loads
 */
public record Worker(
    long id,
    WorkerState state,
    int zone,
    int workerType,
    int cell,
    double startedAt,
    double weight) {}
