package ferngrade.http;

import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.JobClass;

/**
 * The phases of a graceful shutdown, as instants on the node's clock, counted from the signal. The
 * platform may kill the process at a time that follows from the longest deadline of the deployment;
 * every phase is computed back from that time here and nowhere else, so that no two phases can add
 * up to more than there is.
 *
 * @param acceptUntil until then jobs are taken as ever, on connections old and new; later ones are
 *     refused
 * @param answersBy when every job that was taken has its final answer
 * @param unfinishedUntil until then a request that has come in part may come whole; it is refused
 *     either way
 * @param end when the process ends, whatever its clients still do
 */
public record ShutdownBudget(
    double acceptUntil, double answersBy, double unfinishedUntil, double end) {
  /** The platform kills no sooner than the longest deadline and this much after the signal, ms. */
  private static final double KILL_AFTER_DEADLINE = 700;

  /** The most of a deployment's longest deadline that the platform waits for, ms. */
  private static final double LONGEST_DEADLINE = 3000;

  /**
   * How long new connections may come in after the signal, ms: till then balancers have noticed it.
   */
  private static final double NEW_CONNECTIONS = 400;

  /** How long the machine may hold up a node between reading its clock and writing, ms. */
  private static final double MAX_PAUSE = 150;

  /** What it takes to write the last answers, close the connections and end the process, ms. */
  private static final double WRITING = 50;

  /** What clients have at the least to read the last answers and to end their connections, ms. */
  private static final double READING = 100;

  /**
   * The last part of it, which is left to clients whose request came in part and was refused for
   * that, ms.
   */
  static final double READING_REJECTIONS = 50;

  /**
   * A job that would have been granted more, but has less than this left of the budget, is not
   * begun, ms.
   */
  private static final double MIN_REMAINING = 50;

  /**
   * The budget of a shutdown that was asked for by a signal, in a deployment with these settings.
   * Balancers send new connections until some time after the signal at the latest, and the platform
   * may kill some time after it at the earliest: a process that was held up knows both only as
   * bounds.
   *
   * @param earliest when the signal may have come, ms
   * @param noticed when this process noticed it, ms
   */
  public static ShutdownBudget of(double earliest, double noticed, DispatcherSettings settings) {
    double deadline = settings.classes().stream().mapToDouble(JobClass::deadline).max().orElse(0);
    double kill = earliest + Math.min(LONGEST_DEADLINE, deadline) + KILL_AFTER_DEADLINE;
    double end = kill - MAX_PAUSE - WRITING;
    double answersBy = end - READING;
    double acceptUntil = Math.min(noticed + NEW_CONNECTIONS + MAX_PAUSE, answersBy);
    return new ShutdownBudget(acceptUntil, answersBy, end - READING_REJECTIONS, end);
  }

  /**
   * True if a job that is due at {@code due} cannot be answered within the budget, or with too
   * little time for it.
   */
  boolean tooLittleFor(double due, double now) {
    return due > answersBy && answersBy - now < MIN_REMAINING;
  }

  /** The job as it is taken while the node shuts down: due within the budget. */
  Job capped(Job job) {
    return new Job(
        job.id(),
        job.jobClass(),
        job.tenant(),
        Math.min(job.due(), answersBy),
        job.work(),
        job.slots(),
        job.memory(),
        job.object());
  }
}
