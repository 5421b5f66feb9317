package ferngrade.dispatch;

import java.util.List;

/**
 * What a host tells the decision module of one dispatcher, and what the module asks of it. All
 * times are milliseconds on the host's clock and never go back; rates are per second; zones, kinds,
 * classes and tenants are positions in the settings' lists. One instance belongs to one thread; the
 * {@link Actions} are called from inside the events.
 */
public interface Dispatcher {
  /** A client's request has come in; exactly one final answer is owed from here on. */
  void arrived(double now, Job job);

  /** The worker has begun to work on this attempt. */
  void started(double now, String id, int attempt);

  /** The worker has done this share (0 to 1) of the attempt. */
  void progressed(double now, String id, int attempt, double share);

  /** The attempt's answer has begun to stream to the client; no deadline applies any more. */
  default void streaming(double now, String id, int attempt) {
    started(now, id, attempt);
  }

  /**
   * The attempt has ended after {@code took} ms; {@code over} says that the request needs no answer
   * any more.
   */
  void ended(
      double now,
      String id,
      int attempt,
      AttemptOutcome outcome,
      double took,
      boolean over,
      LoadReport report);

  /** Nobody waits for this request any more; attempts still out are reported all the same. */
  void abandoned(double now, String id);

  /** News of the worker list: all of it, or the changed entries only. */
  void members(double now, EndpointListUpdate news, List<Worker> workers);

  /** The worker list could not be had, or the subscription to it has broken. */
  void listFailed(double now);

  /** The result of a health check, for a module that asks for any. */
  default void checked(
      double now, long worker, AttemptOutcome outcome, double took, LoadReport report) {}

  /** A message from another dispatcher. */
  void heard(double now, int from, byte[] message);

  /**
   * The host is one of {@code count} processes of one dispatcher, number {@code index} of them from
   * 0: what is granted to the dispatcher is shared by all of them.
   */
  default void sharedBy(double now, int count, int index) {}

  /**
   * The host accepts no more requests: what is granted to the dispatcher goes to other processes of
   * it, and those that are pending do without.
   */
  default void acceptNoMore(double now) {}

  /** A timer asked for by {@link Actions#timer} has run out. */
  void timer(double now, long token);

  /**
   * Listed workers that take no jobs now by the module's own choice, say ejected after failures; 0
   * if none.
   */
  default int excluded(double now) {
    return 0;
  }

  /** The slot budget as of the last cycle; null where there is none. */
  default BudgetState budgetState() {
    return null;
  }

  /** What the module may ask of its host; carried out at once, in the order of the calls. */
  interface Actions {
    /**
     * Sends an attempt (numbered 0, 1, 2 ... for each request), given up after {@code timeout} ms.
     */
    void send(String id, long worker, double timeout);

    /**
     * Final answer: refused, a retry is harmless; {@code retryAfter} ms is the wait asked for, 0
     * for none.
     */
    void refuse(String id, double retryAfter);

    /** The same with the limit that was the cause, which a host may count. */
    default void refuse(String id, double retryAfter, RejectionCause cause) {
      refuse(id, retryAfter);
    }

    /** Final answer: failed, which promises nothing about the effect. */
    void fail(String id);

    /** Stops waiting for an attempt; whether the work stops is the worker's matter. */
    void cancel(String id, int attempt);

    /** Checks a worker's health. */
    void check(long worker);

    /** Sends at most 256 bytes to another dispatcher. */
    void tell(int peer, byte[] message);

    /** Asks for {@link Dispatcher#timer} after this many ms. */
    void timer(double after, long token);

    /** Subscribes to changes of the worker list. */
    void watch();

    /** Writes one line to the operators' log. */
    void log(String line);
  }
}
