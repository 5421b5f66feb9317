package ferngrade.dispatch;

/**
 * How often a request may run. SAFE: any number of times. KEYED: any number of times, because a
 * group of workers drops repeats with the same key. UNSAFE: at most once.
 */
public enum Idempotency {
  SAFE,
  KEYED,
  UNSAFE
}
