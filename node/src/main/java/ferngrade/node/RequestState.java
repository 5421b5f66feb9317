package ferngrade.node;

/** What a request that was read waits for. */
public enum RequestState {
  /** No attempt is in flight: the dispatcher has not decided yet. */
  WAITING_FOR_DISPATCHER,
  /** A connection to the worker is being opened, or the attempt is being written. */
  CONNECTING,
  /** The attempt is written, and not accepted yet. */
  WRITTEN_TO_WORKER,
  /** The worker has accepted the job and has not called back with its end. */
  ACCEPTED_BY_WORKER,
  /** The final answer has been handed to the client's connection. */
  ANSWERED
}
