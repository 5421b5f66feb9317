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

/** Decisions that are broken on purpose; see {@link Mutation}. */
final class MutantModule implements Dispatcher {
  private final Dispatcher whole;
  private final Actions actions;
  private final boolean resends;
  private final boolean blindToCold;
  private final Map<String, Integer> sent = new HashMap<>();
  private long other;

  MutantModule(Mutation mutation, Dispatcher whole, Actions actions) {
    this.whole = whole;
    this.actions = actions;
    this.resends = mutation == Mutation.DOUBLE_SEND;
    this.blindToCold = mutation == Mutation.COLD_PUSH;
  }

  /** Counts the module's own sends, since attempts are told apart by their numbers. */
  static Actions counting(Actions actions, MutantModule[] self) {
    return new ForwardingActions(actions) {
      @Override
      public void send(String id, long worker, double timeout) {
        if (self[0] != null) {
          self[0].sent.merge(id, 1, Integer::sum);
        }
        super.send(id, worker, timeout);
      }
    };
  }

  @Override
  public void sharedBy(double now, int count, int index) {
    whole.sharedBy(now, count, index);
  }

  @Override
  public void arrived(double now, Job job) {
    whole.arrived(now, job);
  }

  @Override
  public void started(double now, String id, int attempt) {
    if (resends && sent.getOrDefault(id, 0) == 1 && attempt == 0) {
      sent.put(id, 2);
      actions.send(id, other, 0);
    }
    whole.started(now, id, attempt);
  }

  @Override
  public void progressed(double now, String id, int attempt, double share) {
    whole.progressed(now, id, attempt, share);
  }

  @Override
  public void streaming(double now, String id, int attempt) {
    whole.streaming(now, id, attempt);
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
      sent.remove(id);
    }
    whole.ended(now, id, attempt, outcome, took, over, report);
  }

  @Override
  public void abandoned(double now, String id) {
    whole.abandoned(now, id);
  }

  @Override
  public void members(double now, EndpointListUpdate news, List<Worker> workers) {
    workers.stream()
        .filter(each -> each.state() == WorkerState.READY)
        .findFirst()
        .ifPresent(each -> other = each.id());
    whole.members(
        now,
        news,
        !blindToCold
            ? workers
            : workers.stream()
                .map(
                    each ->
                        new Worker(
                            each.id(),
                            each.state(),
                            each.zone(),
                            each.kind(),
                            each.cell(),
                            0,
                            each.weight()))
                .toList());
  }

  @Override
  public void listFailed(double now) {
    whole.listFailed(now);
  }

  @Override
  public void checked(
      double now, long worker, AttemptOutcome outcome, double took, LoadReport report) {
    whole.checked(now, worker, outcome, took, report);
  }

  @Override
  public void heard(double now, int from, byte[] message) {
    whole.heard(now, from, message);
  }

  @Override
  public void timer(double now, long token) {
    whole.timer(now, token);
  }
}
