package ferngrade.faulttest.upgrade;

/** The job classes of a run, named as in the node's settings. */
public enum JobKind {
  /** Jobs that must not run twice. */
  ORDER("order", "at_most_once"),
  /** Jobs that may run twice under the same idempotency key; workers drop the duplicate. */
  PLAN("plan", "deduplicated"),
  /** Jobs that may run twice. */
  DRAFT("draft", "idempotent");

  /** The name of the class in the settings and in requests. */
  public final String label;

  /**
   * The value of the class's {@code Effect} in the settings, which states whether a job may run
   * twice.
   */
  final String effect;

  JobKind(String label, String effect) {
    this.label = label;
    this.effect = effect;
  }
}
