package ferngrade.http;

import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.JobClass;

/**
 * The ends of the phases of a graceful shutdown, in ms on the node's clock. The platform may kill
 * the process at a time that depends on the longest deadline of the deployment. All phases are
 * computed backwards from that time in this class only, so that together they never exceed the time
 * available.
 *
 * @param acceptUntil until then jobs are accepted normally, on new and existing connections; later
 *     jobs are rejected
 * @param answersBy when every accepted job has its final answer
 * @param partialRequestsUntil until then the rest of a partially received request may arrive; the
 *     request is rejected in any case
 * @param end when the process ends, even if clients are still connected
 */
public record ShutdownBudget(
    double acceptUntil, double answersBy, double partialRequestsUntil, double end) {
  /**
   * The minimum time, in ms, that the platform waits in addition to the longest deadline between
   * the signal and the kill.
   */
  private static final double MIN_KILL_DELAY_MILLIS = 700;

  /**
   * The upper limit, in ms, of the longest deadline that the platform takes into account. Longer
   * deadlines do not extend the wait between the signal and the kill.
   */
  private static final double MAX_DEADLINE_MILLIS = 3000;

  /**
   * The time after the signal during which new connections may arrive, in ms; after it, load
   * balancers have noticed the shutdown.
   */
  private static final double NEW_CONNECTIONS_MILLIS = 400;

  /**
   * The maximum time for which the machine may hold up a node between reading its clock and
   * writing, in ms.
   */
  private static final double MAX_PAUSE_MILLIS = 150;

  /** The time to write the last answers, close the connections and end the process, in ms. */
  private static final double WRITE_MILLIS = 50;

  /** The minimum time for clients to read the last answers and close their connections, in ms. */
  private static final double READ_MILLIS = 100;

  /**
   * The time before the end of the budget at which partially received requests are rejected, in ms,
   * so that their clients can read the rejection.
   */
  static final double READ_REJECTION_MILLIS = 50;

  /** The minimum remaining time to start a job whose deadline lies beyond the budget, in ms. */
  private static final double MIN_REMAINING_MILLIS = 50;

  /**
   * Computes the budget of a shutdown requested by a signal, in a deployment with these settings.
   * For some time after the signal, load balancers still send new connections, and the platform
   * does not kill the process yet. A process that was held up knows the time of the signal only
   * within bounds.
   *
   * @param earliestSignal the earliest time at which the signal may have arrived, in ms
   * @param noticedAt the time at which this process noticed the signal, in ms
   */
  public static ShutdownBudget of(
      double earliestSignal, double noticedAt, DispatcherSettings settings) {
    double longestDeadline =
        settings.classes().stream().mapToDouble(JobClass::deadlineMs).max().orElse(0);
    double earliestKill =
        earliestSignal + Math.min(MAX_DEADLINE_MILLIS, longestDeadline) + MIN_KILL_DELAY_MILLIS;
    double end = earliestKill - MAX_PAUSE_MILLIS - WRITE_MILLIS;
    double answersBy = end - READ_MILLIS;
    double acceptUntil = Math.min(noticedAt + NEW_CONNECTIONS_MILLIS + MAX_PAUSE_MILLIS, answersBy);
    return new ShutdownBudget(acceptUntil, answersBy, end - READ_REJECTION_MILLIS, end);
  }

  /**
   * Returns true if a job with this deadline cannot be answered within the budget, or would have
   * too little time.
   */
  boolean tooShortFor(double deadline, double now) {
    return deadline > answersBy && answersBy - now < MIN_REMAINING_MILLIS;
  }

  /** Returns the job with its deadline limited to the budget. */
  Job capDeadline(Job job) {
    return new Job(
        job.id(),
        job.jobClass(),
        job.tenant(),
        Math.min(job.deadline(), answersBy),
        job.work(),
        job.slots(),
        job.memory(),
        job.object());
  }
}
