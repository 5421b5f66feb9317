package ferngrade.node;

/** The outcome of a request for its client. */
enum FinalAnswer {
  SERVED,
  REJECTED,
  FAILED,
  /** The client disconnected before there was an answer. */
  ABANDONED
}
