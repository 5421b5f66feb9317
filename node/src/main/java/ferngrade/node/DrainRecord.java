package ferngrade.node;

/**
 * The latest decision of operators to drain the node or to resume.
 *
 * @param version counts these decisions, across all processes of the node
 * @param drained true from a drain to the next resume
 */
public record DrainRecord(long version, boolean drained) implements SharedRecord {
  /** Before any decision. */
  public static final DrainRecord NONE = new DrainRecord(0, false);

  /** True if this record replaces the other; of two decisions made at once, the drain counts. */
  public boolean supersedes(DrainRecord other) {
    return version > other.version || (version == other.version && drained && !other.drained);
  }

  /** The next decision. */
  public DrainRecord next(boolean toDrained) {
    return new DrainRecord(version + 1, toDrained);
  }
}
