package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;

/**
 * Sees what happens between the parties: judges, statistics and traces are observers. All methods
 * are called on the run's thread, in the order of the events; {@code now} is the time in
 * milliseconds.
 */
public interface Observer {
  /** A client's try is due; it is sent at the same instant. */
  default void due(double now, Request request) {}

  /** The whole request is in the node's hands: from here on it owes one answer. */
  default void taken(double now, int node, Request request) {}

  /** The emulator itself has lost the request, or the answer to it: nobody can be blamed. */
  default void lost(double now, Request request, String why) {}

  /** The node has answered. */
  default void answered(double now, int node, Request request, Answer answer, double retryAfter) {}

  /** The client knows how its try ended. */
  default void ended(double now, Request request, Answer answer) {}

  /** An answer reached a client that had sent its retry already, or had left. */
  default void stray(double now, Request request, Answer answer) {}

  /** The first byte of an attempt has left the node. */
  default void sent(double now, int node, EmulatedWorker worker, Request request) {}

  /** The node knows how an attempt ended, or has given it up (TIMEOUT or CANCELLED). */
  default void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {}

  /**
   * An attempt has reached a worker that is still cold; {@code informed}: the node knew of its
   * start.
   */
  default void reached(double now, EmulatedWorker worker, Request request, boolean informed) {}

  /** A worker has begun a job's work. */
  default void started(double now, EmulatedWorker worker, String id) {}

  /** The list told a node of a worker. */
  default void told(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {}

  /**
   * A cold worker has fallen over; {@code informedShare} of the pressure came from nodes that knew
   * it was cold.
   */
  default void fell(double now, EmulatedWorker worker, double informedShare) {}

  /** A node's process has started, or is gone. */
  default void node(double now, int node, boolean up) {}

  /** A node's process begins to stand still, or goes on. */
  default void paused(double now, int node, boolean begins) {}

  /** A fault begins or ends. */
  default void fault(double now, Fault fault, boolean begins) {}

  /** The slice of the budget that a node holds; called now and then. */
  default void slice(double now, int node, double slots) {}

  /** What a worker holds: jobs in work and waiting; called now and then. */
  default void depth(double now, EmulatedWorker worker, int running, int waiting) {}
}
