package ferngrade.node;

/**
 * The latest decision of operators to drain the node or to resume.
 *
 * @param version the number of these decisions so far, across all processes of the node
 * @param drained true if the decision is to drain the node, false if it is to resume
 */
public record DrainRecord(long version, boolean drained) implements SharedRecord {
  /** The record that is in effect before any decision. */
  public static final DrainRecord NONE = new DrainRecord(0, false);

  /**
   * Returns true if this record replaces the other one. If the versions are equal because two
   * decisions were made concurrently, the drain wins.
   */
  public boolean supersedes(DrainRecord other) {
    return version > other.version || (version == other.version && drained && !other.drained);
  }

  /** Returns the record of a decision that follows this one. */
  public DrainRecord next(boolean nextDrained) {
    return new DrainRecord(version + 1, nextDrained);
  }
}
