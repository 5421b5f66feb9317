package ferngrade.dispatch;

/**
 * A class of jobs. An answer is in time if it takes at most {@code aim} ms plus {@code stretch}
 * times the job's own work.
 *
 * @param effect how often a request may run
 * @param scope the workers that drop repeats of a request with the same key
 * @param window time in ms for which workers remember a key
 * @param deadline maximum deadline of a request, in ms after its arrival
 * @param worth value of an answer in time
 * @param lateWorth value of a late answer
 * @param kind kind of workers that run the class, -1 for any
 */
public record JobClass(
    String name,
    Idempotency effect,
    IdempotencyScope scope,
    double window,
    double aim,
    double stretch,
    double deadline,
    double worth,
    double lateWorth,
    int kind,
    int priority) {
  public JobClass {
    Preconditions.checkRange(effect != null, "JobClass.effect", effect);
    Preconditions.checkRange(scope != null, "JobClass.scope", scope);
    Preconditions.checkRange(window >= 0, "JobClass.window", window);
    Preconditions.checkRange(aim > 0, "JobClass.aim", aim);
    Preconditions.checkRange(stretch >= 0, "JobClass.stretch", stretch);
    Preconditions.checkRange(deadline > 0, "JobClass.deadline", deadline);
    Preconditions.checkRange(kind >= -1, "JobClass.kind", kind);
  }
}
