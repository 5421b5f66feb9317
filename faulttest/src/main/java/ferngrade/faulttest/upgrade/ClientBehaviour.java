package ferngrade.faulttest.upgrade;

/**
 * How clients behave: their mean pause between two requests, the deadline that they tell, both ms,
 * and the share of requests whose client closes its connection before the answer.
 */
public record ClientBehaviour(double meanPause, double deadline, double leaveShare) {
  /** The longest that a client waits before it leaves, ms. */
  static final int MAX_WAIT = 200;
}
