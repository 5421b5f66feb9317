package ferngrade.node;

/** The outcome of a request for its client. */
enum FinalAnswer {
  SERVED,
  REJECTED,
  FAILED,
  /** The id belongs to a request of another process of the node. */
  ID_IN_USE,
  /** The client disconnected before there was an answer. */
  ABANDONED
}
