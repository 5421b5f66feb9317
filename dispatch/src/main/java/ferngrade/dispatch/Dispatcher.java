package ferngrade.dispatch;

import java.util.List;

/**
 * Decides for one dispatcher which jobs to admit, where to send them and when to retry. The host
 * reports events by calling these methods and performs the {@link Actions} that the implementation
 * requests. All times are milliseconds on the host's clock and never decrease; rates are per
 * second; zones, worker types, classes and tenants are indices into the lists of the settings. An
 * instance must be used by one thread only; the implementation calls {@link Actions} from within
 * the event methods.
 */
public interface Dispatcher {
  /**
   * Reports a new client request. The dispatcher must give it exactly one final answer unless an
   * attempt completes it or the client abandons it.
   */
  void requestArrived(double now, Job job);

  /** Reports that the worker has started to run this attempt. */
  void attemptStarted(double now, String requestId, int attemptNumber);

  /** Reports that the worker has completed this share (0 to 1) of the attempt. */
  void attemptProgressed(double now, String requestId, int attemptNumber, double share);

  /**
   * Reports that the attempt's answer has started to stream to the client; no deadline applies to
   * it from then on.
   */
  default void attemptStreaming(double now, String requestId, int attemptNumber) {
    attemptStarted(now, requestId, attemptNumber);
  }

  /**
   * Reports that the attempt has ended after {@code durationMs} ms. {@code completed} is true if
   * the request no longer needs an answer.
   */
  void attemptEnded(
      double now,
      String requestId,
      int attemptNumber,
      AttemptOutcome outcome,
      double durationMs,
      boolean completed,
      LoadReport report);

  /**
   * Reports that the client no longer waits for this request. The host still reports the end of
   * attempts that are in flight.
   */
  void requestAbandoned(double now, String requestId);

  /**
   * Reports the complete endpoint list or only its changed entries, depending on {@code update}.
   */
  void endpointsUpdated(double now, EndpointListUpdate update, List<Worker> workers);

  /**
   * Reports that the endpoint list could not be fetched or that the subscription to it has failed.
   */
  void endpointWatchFailed(double now);

  /** Reports the result of a health check requested by {@link Actions#checkHealth}. */
  default void healthCheckCompleted(
      double now, long workerId, AttemptOutcome outcome, double durationMs, LoadReport report) {}

  /** Reports a message from another dispatcher. */
  void peerMessageReceived(double now, int sender, byte[] message);

  /**
   * Reports that {@code processCount} processes of this dispatcher are running and that this host
   * is the one with the zero-based number {@code processIndex}. The processes share the capacity
   * granted to the dispatcher.
   */
  default void processesChanged(double now, int processCount, int processIndex) {}

  /**
   * Reports that the host has stopped accepting requests. The capacity granted to the dispatcher is
   * left to its other processes, and pending requests must not use it.
   */
  default void drainingStarted(double now) {}

  /** Reports that a timer set by {@link Actions#scheduleTimer} has expired. */
  void timerExpired(double now, long token);

  /**
   * Returns the number of listed workers that the dispatcher itself excludes, for example those
   * ejected after failures.
   */
  default int ejectedWorkerCount(double now) {
    return 0;
  }

  /** Returns the slot budget as of the last cycle, or null if the implementation has none. */
  default BudgetState budgetState() {
    return null;
  }

  /**
   * Operations that the dispatcher requests from its host, which performs them immediately and in
   * the order of the calls.
   */
  interface Actions {
    /**
     * Sends an attempt of the request to a worker; the host cancels it after {@code timeoutMs} ms.
     * The attempts of each request are numbered from 0.
     */
    void send(String requestId, long workerId, double timeoutMs);

    /**
     * Rejects the request as its final answer and informs the client that a retry is safe. {@code
     * retryAfterMs} is the delay in ms suggested to the client, or 0 for none.
     */
    void reject(String requestId, double retryAfterMs);

    /**
     * Rejects the request like {@link #reject(String, double)}. The host may count rejections by
     * {@code cause}.
     */
    default void reject(String requestId, double retryAfterMs, RejectionCause cause) {
      reject(requestId, retryAfterMs);
    }

    /** Fails the request as its final answer; the client cannot know whether the job has run. */
    void fail(String requestId);

    /** Cancels an attempt. The worker may run the job to its end nevertheless. */
    void cancel(String requestId, int attemptNumber);

    /** Requests a health check of a worker. */
    void checkHealth(long workerId);

    /** Sends a message of at most 256 bytes to another dispatcher. */
    void sendToPeer(int peer, byte[] message);

    /**
     * Sets a timer that calls {@link Dispatcher#timerExpired} with {@code token} after {@code
     * delayMs} ms.
     */
    void scheduleTimer(double delayMs, long token);

    /** Subscribes to changes of the endpoint list. */
    void watchEndpoints();

    /** Writes one line to the operators' log. */
    void log(String line);
  }
}
