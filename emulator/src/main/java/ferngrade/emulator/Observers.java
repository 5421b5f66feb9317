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
  public void requestDue(double now, Request request) {
    for (Observer observer : observers) {
      observer.requestDue(now, request);
    }
  }

  @Override
  public void requestAccepted(double now, int node, Request request) {
    for (Observer observer : observers) {
      observer.requestAccepted(now, node, request);
    }
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    for (Observer observer : observers) {
      observer.requestLost(now, request, reason);
    }
  }

  @Override
  public void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {
    for (Observer observer : observers) {
      observer.requestAnswered(now, node, request, answer, retryAfter);
    }
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    for (Observer observer : observers) {
      observer.requestEnded(now, request, answer);
    }
  }

  @Override
  public void lateAnswer(double now, Request request, Answer answer) {
    for (Observer observer : observers) {
      observer.lateAnswer(now, request, answer);
    }
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    for (Observer observer : observers) {
      observer.attemptSent(now, node, worker, request);
    }
  }

  @Override
  public void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    for (Observer observer : observers) {
      observer.attemptEnded(now, node, worker, request, outcome);
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
  public void jobStarted(double now, EmulatedWorker worker, String id) {
    for (Observer observer : observers) {
      observer.jobStarted(now, worker, id);
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
  public void nodeStateChanged(double now, int node, boolean up) {
    for (Observer observer : observers) {
      observer.nodeStateChanged(now, node, up);
    }
  }

  @Override
  public void nodePauseChanged(double now, int node, boolean begins) {
    for (Observer observer : observers) {
      observer.nodePauseChanged(now, node, begins);
    }
  }

  @Override
  public void faultChanged(double now, Fault fault, boolean begins) {
    for (Observer observer : observers) {
      observer.faultChanged(now, fault, begins);
    }
  }

  @Override
  public void sliceSampled(double now, int node, double slots) {
    for (Observer observer : observers) {
      observer.sliceSampled(now, node, slots);
    }
  }

  @Override
  public void queueSampled(double now, EmulatedWorker worker, int running, int waiting) {
    for (Observer observer : observers) {
      observer.queueSampled(now, worker, running, waiting);
    }
  }
}
