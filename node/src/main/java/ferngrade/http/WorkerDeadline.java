package ferngrade.http;

/**
 * Computes the deadline that is sent to a worker with a job. The client may have slightly less time
 * left than the node assumes, because its request was on its way to the node, and the node may be
 * held up between reading its clock and writing. The tolerance of the workers' deadlines covers the
 * second delay; the first one is subtracted here.
 */
final class WorkerDeadline {
  /** The assumed time that a request spent on its way from the client, in ms. */
  private static final double CLIENT_TRANSIT_MILLIS = 10;

  /** The maximum share of the remaining time that is subtracted for the transit. */
  private static final double MAX_SHARE = 0.25;

  private WorkerDeadline() {}

  /**
   * Returns the header value for an attempt for which the node waits {@code remaining} ms more,
   * where {@code remaining} is above zero.
   */
  static String header(double remaining) {
    double sent = remaining - Math.min(CLIENT_TRANSIT_MILLIS, MAX_SHARE * remaining);
    return Math.max(1, (long) Math.floor(sent)) + "m";
  }
}
