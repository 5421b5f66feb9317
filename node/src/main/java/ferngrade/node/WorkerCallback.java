package ferngrade.node;

import ferngrade.dispatch.LoadReport;

/**
 * A worker's report on a job that it has accepted: the id of the request, the name of the worker,
 * the state of the job, the share of the work that is done, the result once it is done, and the
 * worker's load.
 */
public record WorkerCallback(
    String id, String from, State state, double share, String result, LoadReport report) {
  /** The reported state of the job. */
  public enum State {
    STARTED,
    RUNNING,
    DONE,
    FAILED,
    RETURNED,
    LOST
  }
}
