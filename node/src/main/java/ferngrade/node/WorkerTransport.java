package ferngrade.node;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** The transport that carries attempts to workers. */
public interface WorkerTransport {
  /**
   * Sends the call to a worker; {@code patience} ms is how long the node will wait for its end.
   * What becomes of it goes to the listener, never from inside this method.
   */
  AttemptHandle send(JobRequest call, InetSocketAddress worker, double patience, Listener listener);

  /** Asks a worker for its health and load; the answer goes to the listener. */
  void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener);

  /** One call on its way. */
  interface AttemptHandle {
    /**
     * Gives the attempt up, wherever it is; the listener hears no more of it. {@code told} runs
     * once, when the worker has been told so or cannot be; at once if it cannot have begun.
     */
    void giveUp(Runnable told);

    /**
     * True if it has waited for what this machine lacks, so that it was late by no fault of the
     * worker.
     */
    default boolean delayedLocally() {
      return false;
    }
  }

  /** Hears of one call on its way. */
  interface Listener {
    /** Asked right before the first byte is written: false if the call must not go out any more. */
    boolean mayStart();

    /** The last byte is written: from here on the worker may run it. */
    void written();

    /** The worker has taken the call: what becomes of it comes by call-back. */
    void taken();

    /** The attempt has ended; a call that the worker has taken ends by its call-back instead. */
    void ended(AttemptOutcome outcome, LoadReport report);
  }
}
