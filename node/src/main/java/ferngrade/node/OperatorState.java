package ferngrade.node;

/**
 * Stores the decisions of operators, so that they apply in every process of the node and survive
 * the end of each process. Confined to the event loop's thread.
 */
public interface OperatorState {
  /** Applies the decisions that other processes of the node have made since the last call. */
  void refresh();

  /**
   * Stores the latest decision on this worker, and retries until that succeeds. {@code whenStored}
   * runs on the event loop once the decision is in effect in every process and is durable.
   */
  void storeMaintenance(String worker, Runnable whenStored);

  /**
   * Returns true if this process has applied another process's decision on this worker at or after
   * {@code instant}, ms on the monotonic clock.
   */
  boolean changedByOtherProcessSince(String worker, double instant);

  /**
   * Drains the node if {@code drained} is true, or ends the drain if it is false, in every process
   * of the node.
   */
  void drain(boolean drained);

  /**
   * Applies a record that another process of the node sent to this process.
   *
   * @throws IllegalArgumentException if the text is not a valid record
   */
  void received(String record);

  /** Returns true once all decisions that were made before this process started are known here. */
  boolean complete();
}
