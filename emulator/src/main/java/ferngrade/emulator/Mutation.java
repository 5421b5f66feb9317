package ferngrade.emulator;

import ferngrade.node.ResponseHandler;

/**
 * A program that is broken on purpose, to show that a judge sees it. Each breaks a node at the seam
 * between its decisions and its surroundings; {@link #NONE} breaks nothing.
 */
public enum Mutation {
  NONE,
  /** Sends again what may have run. */
  DOUBLE_SEND,
  /** Loses one answer of a hundred. */
  LOST_ANSWER,
  /** Hears of a drain a second late. */
  LATE_DRAIN,
  /** Takes every worker for warm. */
  COLD_PUSH,
  /** Holds a refusal back for two seconds. */
  HELD_REFUSAL;

  /** How late a broken node hears of the list, and how long it holds a refusal back, ms. */
  static final double LATE = 1000;

  static final double HELD = 2000;

  /**
   * The way back to a client, broken where this breaks it; {@code count} counts the replies of the
   * node.
   */
  ResponseHandler reply(ResponseHandler whole, Scheduler time, long count) {
    return switch (this) {
      case LOST_ANSWER -> count % 100 == 0 ? nowhere() : whole;
      case HELD_REFUSAL ->
          new ResponseHandler() {
            @Override
            public void served(String result) {
              whole.served(result);
            }

            @Override
            public void rejected(double retryAfter) {
              time.after(HELD, () -> whole.rejected(retryAfter));
            }

            @Override
            public void failed() {
              whole.failed();
            }
          };
      default -> whole;
    };
  }

  private static ResponseHandler nowhere() {
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
