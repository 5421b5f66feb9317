package ferngrade.emulator;

/** One try of a client. A retry is a new request under a new id that knows the first. */
public final class Request {
  /** What became of a try, as its client sees it. */
  public enum Answer {
    /** Served with a worker's result. */
    SERVED,
    /** Refused: it certainly did not run, or may run again. */
    REFUSED,
    /** Failed: it may have run. */
    FAILED,
    /** No node could be reached; it cannot have run. */
    UNREACHED,
    /** The connection ended with no answer: the node died. */
    BROKEN,
    /** The client waited no longer. */
    LEFT
  }

  public final String id;
  public final int jobClass;
  public final int tenant;
  public final int zone;

  /** Its work on a standard core, ms, and the client's guess at it. */
  public final double work;

  public final double hint;

  /** The key under which workers drop repeats; null for none. */
  public final String key;

  /** When it was due to be sent; a latency counts from here. */
  public final double due;

  /** When its client gives up. */
  public final double deadline;

  /** The first try, itself for a first one, and how many came before. */
  public final Request first;

  public final int tries;

  /** What it is about, 0 for nothing. */
  public final long object;

  /** What its answer is worth, with the tenant's share taken into account. */
  public final double worth;

  /** The node that it goes to; -1 before the front has picked one. */
  int node = -1;

  boolean over;

  /** Ends the wait of its client. */
  Scheduler.Handle patience;

  Request(
      String id,
      int jobClass,
      int tenant,
      int zone,
      double work,
      double hint,
      String key,
      double due,
      double deadline,
      double worth,
      long object,
      Request first) {
    this.id = id;
    this.jobClass = jobClass;
    this.tenant = tenant;
    this.zone = zone;
    this.work = work;
    this.hint = hint;
    this.key = key;
    this.due = due;
    this.deadline = deadline;
    this.worth = worth;
    this.object = object;
    this.first = first == null ? this : first;
    this.tries = first == null ? 0 : first.retries + 1;
    if (first != null) {
      first.retries = tries;
    }
  }

  private int retries;

  /** Notes the node that the front has picked; -1 for none. */
  public void sentTo(int picked) {
    node = picked;
  }

  /** True once its client waits no longer. */
  public boolean over() {
    return over;
  }

  /** The node that it was sent to. */
  public int node() {
    return node;
  }

  @Override
  public String toString() {
    return id;
  }
}
