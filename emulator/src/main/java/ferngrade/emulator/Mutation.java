package ferngrade.emulator;

import ferngrade.node.ResponseHandler;

/**
 * A deliberate defect of a node, used to show that an invariant checker detects it. Each defect is
 * injected at the interface between the dispatcher and its environment; {@link #NONE} injects
 * nothing.
 */
public enum Mutation {
  NONE,
  /** Sends a job again although it may have run. */
  DOUBLE_SEND,
  /** Loses one answer in a hundred. */
  LOST_ANSWER,
  /** Processes changes of the worker list one second late. */
  LATE_DRAIN,
  /** Treats every worker as warm. */
  COLD_PUSH,
  /** Delays each rejection by two seconds. */
  HELD_REFUSAL;

  /** The delay of list changes with {@link #LATE_DRAIN}, in ms. */
  static final double LIST_DELAY_MILLIS = 1000;

  /** The delay of rejections with {@link #HELD_REFUSAL}, in ms. */
  static final double REJECTION_DELAY_MILLIS = 2000;

  /**
   * Wraps a client's response handler if this mutation affects answers. {@code count} is the number
   * of requests that the node has accepted before this one.
   */
  ResponseHandler wrap(ResponseHandler delegate, Scheduler time, long count) {
    return switch (this) {
      case LOST_ANSWER -> count % 100 == 0 ? discardingHandler() : delegate;
      case HELD_REFUSAL ->
          new ResponseHandler() {
            @Override
            public void served(String result) {
              delegate.served(result);
            }

            @Override
            public void rejected(double retryAfter) {
              time.after(REJECTION_DELAY_MILLIS, () -> delegate.rejected(retryAfter));
            }

            @Override
            public void failed() {
              delegate.failed();
            }
          };
      default -> delegate;
    };
  }

  private static ResponseHandler discardingHandler() {
    return new ResponseHandler() {
      @Override
      public void served(String result) {}

      @Override
      public void rejected(double retryAfter) {}

      @Override
      public void failed() {}
    };
  }
}
