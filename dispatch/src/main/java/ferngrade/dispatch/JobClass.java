package ferngrade.dispatch;

/**
 * A class of jobs. An answer is in time if it takes at most {@code latencyObjectiveMs} plus {@code
 * latencyObjectiveFactor} times the job's own work.
 *
 * @param idempotency how often a request may run
 * @param idempotencyScope the workers that drop repeats of a request with the same key
 * @param keyWindowMs time in ms for which workers remember a key
 * @param deadlineMs maximum deadline of a request, in ms after its arrival
 * @param value value of an answer in time
 * @param lateValue value of a late answer
 * @param workerType type of workers that run the class, -1 for any
 */
public record JobClass(
    String name,
    Idempotency idempotency,
    IdempotencyScope idempotencyScope,
    double keyWindowMs,
    double latencyObjectiveMs,
    double latencyObjectiveFactor,
    double deadlineMs,
    double value,
    double lateValue,
    int workerType,
    int priority) {
  public JobClass {
    Preconditions.checkRange(idempotency != null, "JobClass.effect", idempotency);
    Preconditions.checkRange(idempotencyScope != null, "JobClass.scope", idempotencyScope);
    Preconditions.checkRange(keyWindowMs >= 0, "JobClass.window", keyWindowMs);
    Preconditions.checkRange(latencyObjectiveMs > 0, "JobClass.aim", latencyObjectiveMs);
    Preconditions.checkRange(
        latencyObjectiveFactor >= 0, "JobClass.stretch", latencyObjectiveFactor);
    Preconditions.checkRange(deadlineMs > 0, "JobClass.deadline", deadlineMs);
    Preconditions.checkRange(workerType >= -1, "JobClass.kind", workerType);
  }
}
