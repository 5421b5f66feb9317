package ferngrade.faulttest.upgrade;

/** The job classes of a run, named as in the node's settings. */
public enum JobKind {
  /** Must not run twice. */
  ORDER("order", "at_most_once"),
  /** May run twice with the same idempotency key; workers drop the duplicate. */
  PLAN("plan", "deduplicated"),
  /** May run twice. */
  DRAFT("draft", "idempotent");

  /** The name of the class in the settings and in requests. */
  public final String label;

  /** The effect of the class in the settings. */
  final String effect;

  JobKind(String label, String effect) {
    this.label = label;
    this.effect = effect;
  }
}
