package ferngrade.dispatch;

/**
 * How often a request may run: SAFE any number, KEYED repeats are dropped by a group of workers,
 * UNSAFE once.
 */
public enum Idempotency {
  SAFE,
  KEYED,
  UNSAFE
}
