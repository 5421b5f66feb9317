package ferngrade.http;

/**
 * The deadline that is sent to a worker with a job. Its client may have a little less than the node
 * counts, because the request was under way to the node, and the node may be held up between
 * reading its clock and writing. The latter fits into the slack that workers' deadlines are given;
 * the former has to be taken off.
 */
final class WorkerDeadline {
  /**
   * What a request may have spent under way from its client, ms, and the most of a short rest that
   * is given up for it.
   */
  private static final double CLIENT_TRANSIT = 10;

  private static final double MAX_SHARE = 0.25;

  private WorkerDeadline() {}

  /**
   * The header for an attempt that the node waits for {@code left} ms more, which is above zero.
   */
  static String header(double left) {
    double sent = left - Math.min(CLIENT_TRANSIT, MAX_SHARE * left);
    return Math.max(1, (long) Math.floor(sent)) + "m";
  }
}
