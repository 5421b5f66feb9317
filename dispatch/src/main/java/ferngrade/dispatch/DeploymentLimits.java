package ferngrade.dispatch;

/**
 * The operations and limits that the deployment permits.
 *
 * @param tries maximum number of attempts per request
 * @param secondCopies true if a request may have several attempts in flight
 * @param cancel true if attempts may be cancelled
 * @param checks true if health checks are permitted
 * @param peers true if dispatchers may exchange messages
 * @param retryAfterMax maximum delay in ms for which clients honour a retry-after hint, 0 if they
 *     ignore it
 */
public record DeploymentLimits(
    int tries,
    boolean secondCopies,
    boolean cancel,
    boolean checks,
    boolean peers,
    double retryAfterMax) {
  public DeploymentLimits {
    Preconditions.checkRange(tries >= 1, "Limits.tries", tries);
    Preconditions.checkRange(retryAfterMax >= 0, "Limits.retryAfterMax", retryAfterMax);
  }
}
