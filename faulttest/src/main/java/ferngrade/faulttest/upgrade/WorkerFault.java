package ferngrade.faulttest.upgrade;

/** A way in which a worker misbehaves. */
public enum WorkerFault {
  NONE,
  /** Reads each job and never answers. */
  HANGS,
  /** Accepts each job a second or more after receiving it, and runs it. */
  ACCEPTS_LATE,
  /** Closes the connection of each third job without an answer; the job does not run. */
  RESETS,
  /** Sends the callback of each job twice. */
  CALLS_BACK_TWICE
}
