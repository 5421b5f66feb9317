package ferngrade.emulator;

/** A request of a client. A retry is a new request with a new id and a reference to the first. */
public final class Request {
  /** The outcome of a request, as its client observes it. */
  public enum Answer {
    /** Served with a worker's result. */
    SERVED,
    /** Rejected: the job has certainly not run, or is safe to run again. */
    REFUSED,
    /** Failed: the job may have run. */
    FAILED,
    /** No node could be reached: the job cannot have run. */
    UNREACHED,
    /** The connection was closed without an answer because the node crashed. */
    BROKEN,
    /** The client gave up. */
    LEFT
  }

  public final String id;
  public final int jobClass;
  public final int tenant;
  public final int zone;

  /** The work in ms on a standard core; {@link #estimatedWork} is the client's estimate of it. */
  public final double work;

  public final double estimatedWork;

  /** The idempotency key by which workers drop repeats; null if there is none. */
  public final String key;

  /** The time at which the request was due, in ms; latency is measured from it. */
  public final double due;

  /** The time at which the client gives up, in ms. */
  public final double deadline;

  /**
   * The first request of the job: this request, or the one that this request retries. {@link
   * #retryNumber} counts the retries.
   */
  public final Request first;

  /** The number of this retry, from 1; 0 for the first request. */
  public final int retryNumber;

  /** The object that the job refers to; 0 if there is none. */
  public final long object;

  /** The value of a successful answer. It is reduced if the tenant exceeds its share. */
  public final double value;

  /** The node to which the request is sent; -1 until the front load balancer has picked a node. */
  int node = -1;

  boolean ended;

  /** The timer after which the client gives up. */
  Scheduler.Handle giveUpTimer;

  Request(
      String id,
      int jobClass,
      int tenant,
      int zone,
      double work,
      double estimatedWork,
      String key,
      double due,
      double deadline,
      double value,
      long object,
      Request first) {
    this.id = id;
    this.jobClass = jobClass;
    this.tenant = tenant;
    this.zone = zone;
    this.work = work;
    this.estimatedWork = estimatedWork;
    this.key = key;
    this.due = due;
    this.deadline = deadline;
    this.value = value;
    this.object = object;
    this.first = first == null ? this : first;
    this.retryNumber = first == null ? 0 : first.retryCount + 1;
    if (first != null) {
      first.retryCount = retryNumber;
    }
  }

  /** The number of retries of the first request; unused in its retries. */
  private int retryCount;

  /** Sets the node that the front load balancer has picked; -1 if there is none. */
  public void setNode(int picked) {
    node = picked;
  }

  /** Returns true once the client has received an answer or given up. */
  public boolean ended() {
    return ended;
  }

  /** Returns the node to which the request was sent; -1 if there is none. */
  public int node() {
    return node;
  }

  @Override
  public String toString() {
    return id;
  }
}
