package ferngrade.consensus;

/**
 * What is made of the log: the same at every member that has applied the same part of it. It reads
 * no clock and draws nothing by chance.
 */
public interface ReplicatedStateMachine {
  /** Applies the command that stands at this index; the result goes to whoever proposed it. */
  Object apply(long index, Object command);

  /** All that has been applied, as a value that later commands do not change. */
  Object snapshot();

  /** Puts a snapshot, which holds everything up to this index, in place of all that is here. */
  void restore(long index, Object snapshot);
}
