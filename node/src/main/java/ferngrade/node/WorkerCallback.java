package ferngrade.node;

import ferngrade.dispatch.LoadReport;

/**
 * What a worker reports of a job that it has accepted: the request's id, the worker's name, what
 * happened, the share done, and the result where it is done.
 */
public record WorkerCallback(
    String id, String from, State state, double share, String result, LoadReport report) {
  /** What happened to the job. */
  public enum State {
    STARTED,
    RUNNING,
    DONE,
    FAILED,
    RETURNED,
    LOST
  }
}
