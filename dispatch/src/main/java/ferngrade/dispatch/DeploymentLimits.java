package ferngrade.dispatch;

/**
 * What the deployment permits; {@code retryAfterMax} is the longest wait that clients honour, 0 for
 * none.
 */
public record DeploymentLimits(
    int tries,
    boolean secondCopies,
    boolean cancel,
    boolean checks,
    boolean peers,
    double retryAfterMax) {
  public DeploymentLimits {
    Preconditions.that(tries >= 1, "Limits.tries", tries);
    Preconditions.that(retryAfterMax >= 0, "Limits.retryAfterMax", retryAfterMax);
  }
}
