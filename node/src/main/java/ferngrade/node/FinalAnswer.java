package ferngrade.node;

/** How a request ended for its client. */
enum FinalAnswer {
  SERVED,
  REJECTED,
  FAILED,
  /** The client left before there was an answer. */
  ABANDONED
}
