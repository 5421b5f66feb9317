package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** The transport that carries attempts to workers. */
public interface WorkerTransport {
  /**
   * Sends the call to a worker; {@code timeout} ms is how long the node will wait for its end. What
   * becomes of it goes to the listener, never from inside this method.
   */
  AttemptHandle send(JobRequest call, InetSocketAddress worker, double timeout, Listener listener);

  /** Asks a worker for its health and load; the answer goes to the listener. */
  void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener);

  /**
   * Reads the callbacks that have come and that the event loop has not come to read, so that they
   * are handed over before anything that is decided after this call.
   */
  default void readCallbacks() {}

  /** One attempt in flight. */
  interface AttemptHandle {
    /**
     * Gives the attempt up, wherever it is; the listener is called no more. {@code whenNotified}
     * runs once, when the worker has been notified or cannot be; at once if it cannot have begun.
     */
    void giveUp(Runnable whenNotified);

    /** Reads what the worker has sent and the event loop has not come to read. */
    default void readPending() {}

    /**
     * True if it has waited for what this machine lacks, so that it was late by no fault of the
     * worker.
     */
    default boolean delayedLocally() {
      return false;
    }
  }

  /** Is notified of the progress of one attempt. */
  interface Listener {
    /**
     * Called right before the first byte is written: false if the call must not go out any more.
     */
    boolean mayStart();

    /** The last byte is written: from here on the worker may run it. */
    void written();

    /** The worker has accepted the job: its result comes by callback. */
    void taken();

    /** The attempt has ended; a job that the worker has accepted ends by its callback instead. */
    void ended(AttemptOutcome outcome, LoadReport report);
  }
}
