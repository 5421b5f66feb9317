package ferngrade.dispatch;

/** The group of workers that drops repeats of a request with the same idempotency key. */
public enum IdempotencyScope {
  ALL,
  ZONE,
  CELL
}
