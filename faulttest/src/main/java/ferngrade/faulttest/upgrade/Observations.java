package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * What was seen from outside the processes of a run, with times in ms of the harness's monotonic
 * clock since the run began. Any thread may add to it.
 */
public final class Observations {
  private final long origin = System.nanoTime();
  private final List<Send> sends = new ArrayList<>();
  private final List<JobResult> results = new ArrayList<>();
  private final List<OperatorCall> calls = new ArrayList<>();
  private final List<Step> steps = new ArrayList<>();
  private final List<ResourceSample> samples = new ArrayList<>();
  private final List<Fault> faults = new ArrayList<>();
  private final List<String> lostCallbacks = new ArrayList<>();
  private final List<Departure> departures = new ArrayList<>();
  private final List<Utilisation> utilisations = new ArrayList<>();

  /** An attempt that reached a worker; {@code process} is what it said of its sender. */
  public record Send(double at, String worker, String job, String process) {}

  /** How a client's request ended. */
  public enum Outcome {
    SERVED,
    /** Answered 503 or 429. */
    REFUSED,
    /** Answered otherwise. */
    FAILED,
    /** Its connection ended without an answer, also on the one retry that a client makes. */
    CLOSED,
    /** No answer half a second after its deadline. */
    UNANSWERED
  }

  /** A client's request, from its last byte to its answer; {@code deadline} in ms from there. */
  public record JobResult(
      String job, JobKind kind, double sentAt, double endedAt, double deadline, Outcome outcome) {}

  /** A client has closed its connection while its request was open. */
  record Departure(double at, String job) {}

  /** What an operator asked of a worker, or of the node. */
  public enum Verb {
    DISABLE,
    ENABLE,
    DRAIN,
    RESUME
  }

  /**
   * A call of an operator; {@code worker} is null for one about the node, {@code status} 0 if there
   * was no answer within the second that operators wait.
   */
  public record OperatorCall(
      Verb verb, String worker, long pid, double calledAt, double answeredAt, int status) {
    /** True for an answer of yes. */
    public boolean accepted() {
      return status / 100 == 2;
    }
  }

  /** What the harness did, or what a process logged; {@code pid} 0 where it is about none. */
  public record Step(double at, long pid, String text) {
    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%9.1f %7s %s", at, pid == 0 ? "-" : pid, text);
    }
  }

  /**
   * The harness is about to do harm to a process, or has just done it: a pair of them bounds the
   * time. Requests in work then may be lost, by no fault of the node.
   */
  record Fault(double at, long pid, Kind kind) {
    enum Kind {
      KILLED,
      STOPPED
    }
  }

  /** The jobs in work at all workers, by their own count, of the slots that they have. */
  record Utilisation(double at, int inWork, int slots) {}

  /** What the processes of the node held together. */
  public record ResourceSample(double at, int processes, long memoryBytes, int descriptors) {}

  /** The time now, ms. */
  public double now() {
    return (System.nanoTime() - origin) / 1e6;
  }

  synchronized void add(Send send) {
    sends.add(send);
  }

  synchronized void add(JobResult result) {
    results.add(result);
  }

  synchronized void add(OperatorCall call) {
    calls.add(call);
  }

  synchronized void add(ResourceSample sample) {
    samples.add(sample);
  }

  synchronized void add(Fault fault) {
    faults.add(fault);
  }

  synchronized void add(Departure departure) {
    departures.add(departure);
  }

  /** The clients that have left. */
  synchronized List<Departure> departures() {
    return List.copyOf(departures);
  }

  synchronized void add(Utilisation utilisation) {
    utilisations.add(utilisation);
  }

  /** What the workers had in work, by time. */
  synchronized List<Utilisation> utilisations() {
    return List.copyOf(utilisations);
  }

  /** A worker has given up calling back for this job. */
  synchronized void callbackLost(String job) {
    lostCallbacks.add(job);
  }

  /** Adds what happens now. */
  synchronized void step(long pid, String text) {
    steps.add(new Step(now(), pid, text));
  }

  /** All attempts so far, in the order of their arrival. */
  public synchronized List<Send> sends() {
    return List.copyOf(sends);
  }

  /** All ended requests so far. */
  public synchronized List<JobResult> results() {
    return List.copyOf(results);
  }

  /** All ended operators' calls so far, by the time of the call. */
  public synchronized List<OperatorCall> calls() {
    return calls.stream().sorted(Comparator.comparingDouble(OperatorCall::calledAt)).toList();
  }

  /** All samples so far. */
  public synchronized List<ResourceSample> samples() {
    return List.copyOf(samples);
  }

  /** All harm done so far. */
  synchronized List<Fault> faults() {
    return List.copyOf(faults);
  }

  /** The jobs for which a worker has given up calling back. */
  public synchronized List<String> lostCallbacks() {
    return List.copyOf(lostCallbacks);
  }

  /** The timeline: steps of the harness and log lines of the processes. */
  public synchronized List<Step> steps() {
    return List.copyOf(steps);
  }
}
