package ferngrade.dispatch;

/**
 * The operations and limits that the deployment permits.
 *
 * @param maxAttempts maximum number of attempts per request
 * @param hedging true if a request may have several attempts in flight
 * @param cancellation true if attempts may be cancelled
 * @param healthChecks true if health checks are permitted
 * @param peerMessages true if dispatchers may exchange messages
 * @param maxRetryAfterMs maximum delay in ms for which clients honour a retry-after hint, 0 if they
 *     ignore it
 */
public record DeploymentLimits(
    int maxAttempts,
    boolean hedging,
    boolean cancellation,
    boolean healthChecks,
    boolean peerMessages,
    double maxRetryAfterMs) {
  public DeploymentLimits {
    Preconditions.checkRange(maxAttempts >= 1, "Limits.tries", maxAttempts);
    Preconditions.checkRange(maxRetryAfterMs >= 0, "Limits.retryAfterMax", maxRetryAfterMs);
  }
}
