package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Carries attempts and health checks to workers. */
public interface WorkerTransport {
  /**
   * Sends the call to a worker. {@code timeout} is the time, ms, for which the node waits for the
   * attempt's end. The listener receives the progress of the attempt, but is never called from
   * within this method.
   */
  AttemptHandle send(JobRequest call, InetSocketAddress worker, double timeout, Listener listener);

  /** Sends a health check to a worker; the listener receives the outcome and the reported load. */
  void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener);

  /**
   * Reads callbacks that have arrived but that the event loop has not read yet, so that they are
   * processed before anything that is decided after this call.
   */
  default void readCallbacks() {}

  /** One attempt in flight. */
  interface AttemptHandle {
    /**
     * Cancels the attempt in any state; the listener is not called any more. {@code whenNotified}
     * runs once, as soon as the worker has been notified or cannot be reached, and immediately if
     * the worker cannot have started the job.
     */
    void cancel(Runnable whenNotified);

    /** Reads input from the worker that has arrived but that the event loop has not read yet. */
    default void readPending() {}

    /**
     * Returns true if the attempt was delayed by a resource shortage of this machine, so that the
     * delay is not the worker's fault.
     */
    default boolean delayedLocally() {
      return false;
    }
  }

  /** Receives the progress of one attempt. */
  interface Listener {
    /**
     * Called immediately before the first byte is written. Returns false if the call must not be
     * sent any more.
     */
    boolean mayStart();

    /** Called when the last byte has been written; from now on the worker may run the job. */
    void written();

    /** Called when the worker has accepted the job; the outcome will arrive by callback. */
    void accepted();

    /**
     * Called when the attempt has ended without being accepted. An accepted job ends by its
     * callback instead.
     */
    void ended(AttemptOutcome outcome, LoadReport report);
  }
}
