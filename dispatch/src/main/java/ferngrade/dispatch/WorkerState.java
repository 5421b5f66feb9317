package ferngrade.dispatch;

/** The state of a worker according to the endpoint list. */
public enum WorkerState {
  READY,
  DRAINING,
  GONE
}
