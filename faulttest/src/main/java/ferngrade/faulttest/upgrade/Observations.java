package ferngrade.faulttest.upgrade;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * The events observed from outside the processes of a run, with times in ms of the harness's
 * monotonic clock since the run began. Thread-safe.
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

  /**
   * An attempt that reached a worker; {@code process} is the sender as named by the attempt's
   * header.
   */
  public record Send(double at, String worker, String job, String process) {}

  /** How a client's request ended. */
  public enum Outcome {
    SERVED,
    /** The node rejected the request with 503 or 429. */
    REFUSED,
    /** Answered with any other status, or with a wrong result. */
    FAILED,
    /**
     * The connection was closed without an answer, for the request and for the single retry that a
     * client makes.
     */
    CLOSED,
    /** Not answered within half a second after its deadline. */
    UNANSWERED
  }

  /**
   * A client's request, from its last byte to its answer; {@code deadline} in ms from {@code
   * sentAt}.
   */
  public record JobResult(
      String job, JobKind kind, double sentAt, double endedAt, double deadline, Outcome outcome) {}

  /** A client closed its connection while its request was in progress. */
  record Departure(double at, String job) {}

  /** The type of an operator's call. */
  public enum Verb {
    DISABLE,
    ENABLE,
    DRAIN,
    RESUME
  }

  /**
   * An operator's call; {@code worker} is null for a call about the node, {@code status} is 0 if
   * there was no answer within the timeout of 1 s.
   */
  public record OperatorCall(
      Verb verb, String worker, long pid, double calledAt, double answeredAt, int status) {
    /** Returns whether the call was answered with a 2xx status. */
    public boolean accepted() {
      return status / 100 == 2;
    }
  }

  /**
   * An action of the harness, or a log line of a process; {@code pid} is 0 if it concerns no
   * process.
   */
  public record Step(double at, long pid, String text) {
    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%9.1f %7s %s", at, pid == 0 ? "-" : pid, text);
    }
  }

  /**
   * Marks the time just before or just after the harness injects a fault into a process. Each fault
   * has one mark before it and one after it. Requests in progress between the two marks may be lost
   * without a violation.
   */
  record Fault(double at, long pid, Kind kind) {
    enum Kind {
      KILLED,
      STOPPED
    }
  }

  /**
   * The number of jobs running or queued at all workers, as counted by the workers, and the number
   * of their slots.
   */
  record Utilisation(double at, int jobsInProgress, int slots) {}

  /** The memory and descriptors that the processes of the node held together. */
  public record ResourceSample(double at, int processes, long memoryBytes, int descriptors) {}

  /** Returns the time since the start of the run, in ms. */
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

  /** Returns the requests that clients abandoned. */
  synchronized List<Departure> departures() {
    return List.copyOf(departures);
  }

  synchronized void add(Utilisation utilisation) {
    utilisations.add(utilisation);
  }

  /** Returns the utilisation samples, ordered by time. */
  synchronized List<Utilisation> utilisations() {
    return List.copyOf(utilisations);
  }

  /** Records that a worker has stopped retrying its callback for this job. */
  synchronized void callbackLost(String job) {
    lostCallbacks.add(job);
  }

  /** Adds a step at the current time. */
  synchronized void step(long pid, String text) {
    steps.add(new Step(now(), pid, text));
  }

  /** Returns all attempts so far, in the order of their arrival. */
  public synchronized List<Send> sends() {
    return List.copyOf(sends);
  }

  /** Returns all completed requests so far. */
  public synchronized List<JobResult> results() {
    return List.copyOf(results);
  }

  /** Returns all completed operators' calls so far, ordered by the time of the call. */
  public synchronized List<OperatorCall> calls() {
    return calls.stream().sorted(Comparator.comparingDouble(OperatorCall::calledAt)).toList();
  }

  /** Returns all resource samples so far. */
  public synchronized List<ResourceSample> samples() {
    return List.copyOf(samples);
  }

  /** Returns the start and end marks of all faults so far. */
  synchronized List<Fault> faults() {
    return List.copyOf(faults);
  }

  /** Returns the jobs for which a worker has stopped retrying its callback. */
  public synchronized List<String> lostCallbacks() {
    return List.copyOf(lostCallbacks);
  }

  /** Returns the timeline: actions of the harness and log lines of the processes. */
  public synchronized List<Step> steps() {
    return List.copyOf(steps);
  }
}
