package ferngrade.faulttest.upgrade;

/**
 * The behaviour of clients: the mean pause between two requests and the deadline of a request, both
 * in ms, and the share of requests whose client closes its connection before the answer.
 */
public record ClientBehaviour(double meanPause, double deadline, double abandonShare) {
  /** The maximum time after which a client closes its connection, ms. */
  static final int MAX_WAIT_MILLIS = 200;
}
