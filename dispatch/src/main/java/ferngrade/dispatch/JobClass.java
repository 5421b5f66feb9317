package ferngrade.dispatch;

/**
 * A class of jobs: an answer is in time within {@code aim} ms plus {@code stretch} times its own
 * work.
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
    Preconditions.that(effect != null, "JobClass.effect", effect);
    Preconditions.that(scope != null, "JobClass.scope", scope);
    Preconditions.that(window >= 0, "JobClass.window", window);
    Preconditions.that(aim > 0, "JobClass.aim", aim);
    Preconditions.that(stretch >= 0, "JobClass.stretch", stretch);
    Preconditions.that(deadline > 0, "JobClass.deadline", deadline);
    Preconditions.that(kind >= -1, "JobClass.kind", kind);
  }
}
