package ferngrade.faulttest.upgrade;

/** What a worker does wrong. */
public enum WorkerFault {
  NONE,
  /** Reads each job and answers nothing. */
  HANGS,
  /** Accepts each job a second or more after it has come, and runs it. */
  ACCEPTS_LATE,
  /** Ends the connection under each third job without an answer; the job does not run. */
  RESETS,
  /** Calls back twice about each job. */
  CALLS_BACK_TWICE
}
