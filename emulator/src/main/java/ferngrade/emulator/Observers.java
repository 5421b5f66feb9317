package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import java.util.List;

/** Forwards each event to several observers, in list order. */
public final class Observers implements Observer {
  private final Observer[] observers;

  /** Creates an observer that forwards to the given observers. */
  public Observers(List<? extends Observer> observers) {
    this.observers = observers.toArray(new Observer[0]);
  }

  @Override
  public void due(double now, Request request) {
    for (Observer observer : observers) {
      observer.due(now, request);
    }
  }

  @Override
  public void accepted(double now, int node, Request request) {
    for (Observer observer : observers) {
      observer.accepted(now, node, request);
    }
  }

  @Override
  public void lost(double now, Request request, String why) {
    for (Observer observer : observers) {
      observer.lost(now, request, why);
    }
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    for (Observer observer : observers) {
      observer.answered(now, node, request, answer, retryAfter);
    }
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    for (Observer observer : observers) {
      observer.ended(now, request, answer);
    }
  }

  @Override
  public void stray(double now, Request request, Answer answer) {
    for (Observer observer : observers) {
      observer.stray(now, request, answer);
    }
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    for (Observer observer : observers) {
      observer.sent(now, node, worker, request);
    }
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    for (Observer observer : observers) {
      observer.attemptOver(now, node, worker, request, outcome);
    }
  }

  @Override
  public void reachedColdWorker(
      double now, EmulatedWorker worker, Request request, boolean informed) {
    for (Observer observer : observers) {
      observer.reachedColdWorker(now, worker, request, informed);
    }
  }

  @Override
  public void started(double now, EmulatedWorker worker, String id) {
    for (Observer observer : observers) {
      observer.started(now, worker, id);
    }
  }

  @Override
  public void workerListed(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    for (Observer observer : observers) {
      observer.workerListed(now, node, worker, state, startedAt);
    }
  }

  @Override
  public void coldWorkerCrashed(double now, EmulatedWorker worker, double informedShare) {
    for (Observer observer : observers) {
      observer.coldWorkerCrashed(now, worker, informedShare);
    }
  }

  @Override
  public void node(double now, int node, boolean up) {
    for (Observer observer : observers) {
      observer.node(now, node, up);
    }
  }

  @Override
  public void paused(double now, int node, boolean begins) {
    for (Observer observer : observers) {
      observer.paused(now, node, begins);
    }
  }

  @Override
  public void fault(double now, Fault fault, boolean begins) {
    for (Observer observer : observers) {
      observer.fault(now, fault, begins);
    }
  }

  @Override
  public void slice(double now, int node, double slots) {
    for (Observer observer : observers) {
      observer.slice(now, node, slots);
    }
  }

  @Override
  public void depth(double now, EmulatedWorker worker, int running, int waiting) {
    for (Observer observer : observers) {
      observer.depth(now, worker, running, waiting);
    }
  }
}
