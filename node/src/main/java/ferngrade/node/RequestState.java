package ferngrade.node;

/** The step for which a fully read request is waiting. */
public enum RequestState {
  /** No attempt is in flight: the dispatcher has not decided yet. */
  WAITING_FOR_DISPATCHER,
  /** A connection to the worker is being opened, or the attempt is being written. */
  CONNECTING,
  /** The attempt is fully written but not yet accepted. */
  WRITTEN_TO_WORKER,
  /** The worker has accepted the job and has not sent a callback with its outcome. */
  ACCEPTED_BY_WORKER,
  /** The final answer has been passed to the client's connection. */
  ANSWERED
}
