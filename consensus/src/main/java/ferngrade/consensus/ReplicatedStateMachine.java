package ferngrade.consensus;

/**
 * The state that results from applying the entries of the log. The state is the same on all members
 * that have applied the same prefix of the log. Implementations are deterministic: they read no
 * clock and use no random numbers. Called on the member's thread.
 */
public interface ReplicatedStateMachine {
  /**
   * Applies the command at this index. The result is returned to the member that proposed the
   * command.
   */
  Object apply(long index, Object command);

  /**
   * Returns the whole state as a value that the codec can write and that later commands do not
   * change.
   */
  Object snapshot();

  /** Replaces the whole state with a snapshot, which covers all commands up to this index. */
  void restore(long index, Object snapshot);
}
