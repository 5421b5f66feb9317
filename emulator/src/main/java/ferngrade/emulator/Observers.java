package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import java.util.List;

/** Tells several observers, in their order. */
public final class Observers implements Observer {
  private final Observer[] all;

  /** One observer that tells these. */
  public Observers(List<? extends Observer> all) {
    this.all = all.toArray(new Observer[0]);
  }

  @Override
  public void due(double now, Request request) {
    for (Observer each : all) {
      each.due(now, request);
    }
  }

  @Override
  public void taken(double now, int node, Request request) {
    for (Observer each : all) {
      each.taken(now, node, request);
    }
  }

  @Override
  public void lost(double now, Request request, String why) {
    for (Observer each : all) {
      each.lost(now, request, why);
    }
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    for (Observer each : all) {
      each.answered(now, node, request, answer, retryAfter);
    }
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    for (Observer each : all) {
      each.ended(now, request, answer);
    }
  }

  @Override
  public void stray(double now, Request request, Answer answer) {
    for (Observer each : all) {
      each.stray(now, request, answer);
    }
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    for (Observer each : all) {
      each.sent(now, node, worker, request);
    }
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    for (Observer each : all) {
      each.attemptOver(now, node, worker, request, outcome);
    }
  }

  @Override
  public void reached(double now, EmulatedWorker worker, Request request, boolean informed) {
    for (Observer each : all) {
      each.reached(now, worker, request, informed);
    }
  }

  @Override
  public void started(double now, EmulatedWorker worker, String id) {
    for (Observer each : all) {
      each.started(now, worker, id);
    }
  }

  @Override
  public void told(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    for (Observer each : all) {
      each.told(now, node, worker, state, startedAt);
    }
  }

  @Override
  public void fell(double now, EmulatedWorker worker, double informedShare) {
    for (Observer each : all) {
      each.fell(now, worker, informedShare);
    }
  }

  @Override
  public void node(double now, int node, boolean up) {
    for (Observer each : all) {
      each.node(now, node, up);
    }
  }

  @Override
  public void paused(double now, int node, boolean begins) {
    for (Observer each : all) {
      each.paused(now, node, begins);
    }
  }

  @Override
  public void fault(double now, Fault fault, boolean begins) {
    for (Observer each : all) {
      each.fault(now, fault, begins);
    }
  }

  @Override
  public void slice(double now, int node, double slots) {
    for (Observer each : all) {
      each.slice(now, node, slots);
    }
  }

  @Override
  public void depth(double now, EmulatedWorker worker, int running, int waiting) {
    for (Observer each : all) {
      each.depth(now, worker, running, waiting);
    }
  }
}
