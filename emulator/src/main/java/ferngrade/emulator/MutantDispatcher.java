package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Wraps a dispatcher and injects the defect that a {@link Mutation} describes. */
final class MutantDispatcher implements Dispatcher {
  private final Dispatcher delegate;
  private final Actions actions;
  private final boolean sendsTwice;
  private final boolean ignoresStartTime;
  private final Map<String, Integer> sendCounts = new HashMap<>();
  private long secondSendTarget;

  MutantDispatcher(Mutation mutation, Dispatcher delegate, Actions actions) {
    this.delegate = delegate;
    this.actions = actions;
    this.sendsTwice = mutation == Mutation.DOUBLE_SEND;
    this.ignoresStartTime = mutation == Mutation.COLD_PUSH;
  }

  /**
   * Returns actions that count the attempts sent by the wrapped dispatcher, because attempts are
   * identified by their numbers. {@code self} holds the mutant once it has been created.
   */
  static Actions counting(Actions actions, MutantDispatcher[] self) {
    return new ForwardingActions(actions) {
      @Override
      public void send(String id, long worker, double timeout) {
        if (self[0] != null) {
          self[0].sendCounts.merge(id, 1, Integer::sum);
        }
        super.send(id, worker, timeout);
      }
    };
  }

  @Override
  public void processesChanged(double now, int count, int index) {
    delegate.processesChanged(now, count, index);
  }

  @Override
  public void requestArrived(double now, Job job) {
    delegate.requestArrived(now, job);
  }

  @Override
  public void attemptStarted(double now, String id, int attempt) {
    if (sendsTwice && sendCounts.getOrDefault(id, 0) == 1 && attempt == 0) {
      sendCounts.put(id, 2);
      actions.send(id, secondSendTarget, 0);
    }
    delegate.attemptStarted(now, id, attempt);
  }

  @Override
  public void attemptProgressed(double now, String id, int attempt, double share) {
    delegate.attemptProgressed(now, id, attempt, share);
  }

  @Override
  public void attemptStreaming(double now, String id, int attempt) {
    delegate.attemptStreaming(now, id, attempt);
  }

  @Override
  public void attemptEnded(
      double now,
      String id,
      int attempt,
      AttemptOutcome outcome,
      double durationMs,
      boolean completed,
      LoadReport report) {
    if (attempt == 0) {
      sendCounts.remove(id);
    }
    delegate.attemptEnded(now, id, attempt, outcome, durationMs, completed, report);
  }

  @Override
  public void requestAbandoned(double now, String id) {
    delegate.requestAbandoned(now, id);
  }

  @Override
  public void endpointsUpdated(double now, EndpointListUpdate update, List<Worker> workers) {
    workers.stream()
        .filter(worker -> worker.state() == WorkerState.READY)
        .findFirst()
        .ifPresent(worker -> secondSendTarget = worker.id());
    delegate.endpointsUpdated(
        now,
        update,
        !ignoresStartTime
            ? workers
            : workers.stream()
                .map(
                    worker ->
                        new Worker(
                            worker.id(),
                            worker.state(),
                            worker.zone(),
                            worker.workerType(),
                            worker.cell(),
                            0,
                            worker.weight()))
                .toList());
  }

  @Override
  public void endpointWatchFailed(double now) {
    delegate.endpointWatchFailed(now);
  }

  @Override
  public void healthCheckCompleted(
      double now, long worker, AttemptOutcome outcome, double durationMs, LoadReport report) {
    delegate.healthCheckCompleted(now, worker, outcome, durationMs, report);
  }

  @Override
  public void peerMessageReceived(double now, int from, byte[] message) {
    delegate.peerMessageReceived(now, from, message);
  }

  @Override
  public void timerExpired(double now, long token) {
    delegate.timerExpired(now, token);
  }
}
