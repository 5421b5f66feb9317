package ferngrade.dispatch;

/** The workers that drop each other's repeats of a keyed request. */
public enum IdempotencyScope {
  ALL,
  ZONE,
  CELL
}
