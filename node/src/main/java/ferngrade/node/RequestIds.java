package ferngrade.node;

import java.util.function.Consumer;

/**
 * Keeps the ids of requests unique among the processes of a node that run at the same time: at most
 * one of them sends a request with a given id to workers. Confined to the event loop.
 */
public interface RequestIds {
  /** Used by a node whose other processes, if any, share no clients with it. */
  RequestIds SINGLE_PROCESS =
      new RequestIds() {
        @Override
        public boolean usedElsewhere(String id) {
          return false;
        }

        @Override
        public void claim(String id, Consumer<Claim> outcome) {
          outcome.accept(Claim.GRANTED);
        }
      };

  /** The outcome of a claim. */
  enum Claim {
    /** No other process sends a request with this id, now or later. */
    GRANTED,
    /** Another process has, or had, a request with this id. */
    IN_USE,
    /** A process that may have a request with this id has not answered. */
    UNANSWERED
  }

  /** Returns true if another process is known to have, or to have had, a request with this id. */
  boolean usedElsewhere(String id);

  /**
   * Claims an id for this process. {@code outcome} is called exactly once, possibly before this
   * method returns.
   */
  void claim(String id, Consumer<Claim> outcome);
}
