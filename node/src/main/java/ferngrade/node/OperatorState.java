package ferngrade.node;

/**
 * Where the decisions of operators are kept, so that they hold in every process of the node and
 * outlive each. Belongs to the event loop.
 */
public interface OperatorState {
  /** Takes over what other processes of the node have been told meanwhile. */
  void refresh();

  /**
   * Stores the latest decision on this worker; {@code stored} runs on the event loop once it holds
   * in every process and is durable. Until then attempts to store it go on.
   */
  void storeMaintenance(String worker, Runnable stored);

  /**
   * True if another process's decision on this worker was taken over here at {@code instant}, ms on
   * the clock, or later.
   */
  boolean decidedElsewhereSince(String worker, double instant);

  /** Drains the node or ends that, in every process of it. */
  void drain(boolean drained);

  /**
   * Takes over a record that another process of the node sent to this one.
   *
   * @throws IllegalArgumentException if the text is no record
   */
  void received(String record);

  /** True once all that was decided before this process started is known here. */
  boolean complete();
}
