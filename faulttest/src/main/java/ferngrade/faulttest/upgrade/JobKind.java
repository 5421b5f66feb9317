package ferngrade.faulttest.upgrade;

/** The classes of jobs in a run, named as in the node's settings. */
public enum JobKind {
  /** May not run twice. */
  ORDER("order", "at_most_once"),
  /** May run twice under the same idempotency key; workers drop the repeat. */
  PLAN("plan", "deduplicated"),
  /** May run twice. */
  DRAFT("draft", "idempotent");

  /** The class's name in the settings and in requests. */
  public final String label;

  /** Its effect in the settings. */
  final String effect;

  JobKind(String label, String effect) {
    this.label = label;
    this.effect = effect;
  }
}
