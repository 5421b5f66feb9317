package ferngrade.consensus;

/**
 * The state that the log defines: the same at every member that has applied the same part of it. It
 * is deterministic, so it reads no clock and draws no random numbers. Called on the member's
 * thread.
 */
public interface ReplicatedStateMachine {
  /** Applies the command at this index; the result is returned to the member that proposed it. */
  Object apply(long index, Object command);

  /** The whole state, as a value that later commands do not change and the codec can write. */
  Object snapshot();

  /** Replaces the whole state by a snapshot, which covers everything up to this index. */
  void restore(long index, Object snapshot);
}
