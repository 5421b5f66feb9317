package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;

/**
 * Receives the events between clients, nodes and workers. Invariant checkers, statistics and traces
 * are observers. All methods are called on the thread of the run, in the order of the events;
 * {@code now} is the time in ms.
 */
public interface Observer {
  /** Called when a client's request is due. The client sends it at the same time. */
  default void requestDue(double now, Request request) {}

  /**
   * Called when the node has received the whole request and must therefore send exactly one answer.
   */
  default void requestAccepted(double now, int node, Request request) {}

  /**
   * Called when the emulator loses the request or its answer. The node is not responsible for this
   * loss.
   */
  default void requestLost(double now, Request request, String reason) {}

  /**
   * Called when the node sends its answer. {@code retryAfter} is the wait before a retry that the
   * answer asks for, in ms, or 0 if it asks for none.
   */
  default void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {}

  /** Called when the client learns the outcome of its request. */
  default void requestEnded(double now, Request request, Answer answer) {}

  /** Called when an answer reaches a client that has already retried or given up. */
  default void lateAnswer(double now, Request request, Answer answer) {}

  /** Called when the node sends the first byte of an attempt. */
  default void attemptSent(double now, int node, EmulatedWorker worker, Request request) {}

  /**
   * Called when the node receives the outcome of an attempt, or gives up the attempt (TIMEOUT or
   * CANCELLED).
   */
  default void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {}

  /**
   * Called when an attempt reaches a worker that is cold. {@code informed} is true if the node knew
   * when the worker's process started.
   */
  default void reachedColdWorker(
      double now, EmulatedWorker worker, Request request, boolean informed) {}

  /** Called when a worker starts a job. */
  default void jobStarted(double now, EmulatedWorker worker, String id) {}

  /** Called when a node receives a worker's entry in a list update. */
  default void workerListed(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {}

  /**
   * Called when a cold worker crashes from overload. {@code informedShare} is the share of the
   * offered work that came from nodes that knew it was cold.
   */
  default void coldWorkerCrashed(double now, EmulatedWorker worker, double informedShare) {}

  /** Called when a node's process starts or ends. */
  default void nodeStateChanged(double now, int node, boolean up) {}

  /** Called when a node's process is paused or resumed. */
  default void nodePauseChanged(double now, int node, boolean begins) {}

  /** Called when a fault begins or ends. */
  default void faultChanged(double now, Fault fault, boolean begins) {}

  /** Called periodically with a node's slice of the budget. */
  default void sliceSampled(double now, int node, double slots) {}

  /** Called periodically with the numbers of running and waiting jobs of a worker. */
  default void queueSampled(double now, EmulatedWorker worker, int running, int waiting) {}
}
