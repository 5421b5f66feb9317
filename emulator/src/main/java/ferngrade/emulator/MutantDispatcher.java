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
  public void sharedBy(double now, int count, int index) {
    delegate.sharedBy(now, count, index);
  }

  @Override
  public void arrived(double now, Job job) {
    delegate.arrived(now, job);
  }

  @Override
  public void started(double now, String id, int attempt) {
    if (sendsTwice && sendCounts.getOrDefault(id, 0) == 1 && attempt == 0) {
      sendCounts.put(id, 2);
      actions.send(id, secondSendTarget, 0);
    }
    delegate.started(now, id, attempt);
  }

  @Override
  public void progressed(double now, String id, int attempt, double share) {
    delegate.progressed(now, id, attempt, share);
  }

  @Override
  public void streaming(double now, String id, int attempt) {
    delegate.streaming(now, id, attempt);
  }

  @Override
  public void ended(
      double now,
      String id,
      int attempt,
      AttemptOutcome outcome,
      double took,
      boolean over,
      LoadReport report) {
    if (attempt == 0) {
      sendCounts.remove(id);
    }
    delegate.ended(now, id, attempt, outcome, took, over, report);
  }

  @Override
  public void abandoned(double now, String id) {
    delegate.abandoned(now, id);
  }

  @Override
  public void members(double now, EndpointListUpdate update, List<Worker> workers) {
    workers.stream()
        .filter(worker -> worker.state() == WorkerState.READY)
        .findFirst()
        .ifPresent(worker -> secondSendTarget = worker.id());
    delegate.members(
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
                            worker.kind(),
                            worker.cell(),
                            0,
                            worker.weight()))
                .toList());
  }

  @Override
  public void listFailed(double now) {
    delegate.listFailed(now);
  }

  @Override
  public void checked(
      double now, long worker, AttemptOutcome outcome, double took, LoadReport report) {
    delegate.checked(now, worker, outcome, took, report);
  }

  @Override
  public void heard(double now, int from, byte[] message) {
    delegate.heard(now, from, message);
  }

  @Override
  public void timer(double now, long token) {
    delegate.timer(now, token);
  }
}
