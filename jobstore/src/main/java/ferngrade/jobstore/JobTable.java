package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The states of all durable jobs and the rules for their changes, without I/O, clock or threads.
 * Each change that is allowed comes back as entries; they are applied here at once, and whoever
 * asked must have them on disk before anybody is told. What is not allowed changes nothing and says
 * why.
 *
 * <p>The rules: a job that may have run never runs again unless its class allows it (a keyed one
 * within its window, a safe one always). A lease carries a fencing token larger than all before it,
 * also over a crash, and only the holder of a job's newest token is listened to. A restart
 * concludes nothing from what it does not know: a lease that was out may have led to a run.
 */
public class JobTable {
  /** Why a change was not allowed. */
  public enum Refusal {
    /** The id is known: the job was taken before, and its state is its answer. */
    KNOWN,
    /** No such job; it was never taken, or its answer is kept no longer. */
    UNKNOWN,
    /** The job is not in a state that allows it. */
    NOT_NOW,
    /** The token is not the job's newest. */
    STALE
  }

  /**
   * What came of a request for a change: entries to store, or a refusal. Both are absent where
   * nothing changes.
   */
  public record Change(List<LogRecord> entries, Refusal refusal) {
    static Change of(LogRecord... entries) {
      return new Change(List.of(entries), null);
    }

    static Change refused(Refusal why) {
      return new Change(List.of(), why);
    }

    /** True if it was allowed. */
    public boolean allowed() {
      return refusal == null;
    }
  }

  /** How leases and retries are measured out, ms. */
  public record Terms(
      double lease,
      double doubt,
      double keepResults,
      int mostLeases,
      double backoff,
      double backoffMost) {
    /** Checks the figures. */
    public Terms {
      if (!(lease > 0)
          || !(doubt >= 0)
          || !(keepResults >= 0)
          || mostLeases < 1
          || !(backoff >= 0)
          || !(backoffMost >= backoff)) {
        throw new IllegalArgumentException(
            "terms out of range: lease "
                + lease
                + ", doubt "
                + doubt
                + ", results "
                + keepResults
                + ", leases "
                + mostLeases
                + ", backoff "
                + backoff
                + " to "
                + backoffMost);
      }
    }
  }

  private final Terms terms;
  private final Map<String, Job> jobs = new LinkedHashMap<>();
  private long highestToken;

  /** An empty ledger. */
  public JobTable(Terms terms) {
    this.terms = terms;
  }

  // ---- Changes ----

  /** Takes a client's job. */
  public Change accept(
      String id, Idempotency effect, String key, double window, byte[] payload, double at) {
    if (jobs.containsKey(id)) {
      return Change.refused(Refusal.KNOWN);
    }
    return apply(new LogRecord.Accepted(id, effect, key, window, 0, at, payload.clone()));
  }

  /**
   * Gives a worker a lease on a job; {@code monotonic} is the present time of a clock that never
   * jumps.
   */
  public Change lease(String id, String worker, double at, double monotonic) {
    Job job = jobs.get(id);
    if (job == null) {
      return Change.refused(Refusal.UNKNOWN);
    }
    if (job.state != JobState.ACCEPTED || at < job.notBefore || !mayRun(job, at)) {
      return Change.refused(Refusal.NOT_NOW);
    }
    Change change = apply(new LogRecord.Leased(id, worker, highestToken + 1, at));
    job.leaseEnds = monotonic + terms.lease();
    return change;
  }

  private static boolean mayRun(Job job, double at) {
    return Double.isNaN(job.firstDoubtfulAt)
        || job.effect() == Idempotency.SAFE
        || (job.effect() == Idempotency.KEYED
            && at >= job.firstDoubtfulAt
            && at < job.firstDoubtfulAt + job.accepted().window());
  }

  /** The holder says that it has begun. */
  public Change started(String id, long token, double at) {
    Job job = jobs.get(id);
    Refusal refusal = listen(job, token);
    if (refusal != null) {
      return Change.refused(refusal);
    }
    if (job.state == JobState.STARTED) {
      return Change.of();
    }
    return apply(new LogRecord.Started(id, job.token, since(job)));
  }

  /**
   * The holder lives; nothing is stored, because a restart gives every lease its full time anew.
   */
  public Change heartbeat(String id, long token, double monotonic) {
    Job job = jobs.get(id);
    Refusal refusal = listen(job, token);
    if (refusal != null) {
      return Change.refused(refusal);
    }
    if (job.state != JobState.IN_DOUBT) {
      job.leaseEnds = monotonic + terms.lease();
    }
    return Change.of();
  }

  /** The holder is done. That settles a doubt as well. */
  public Change done(String id, long token, String result, double at) {
    Job job = jobs.get(id);
    Refusal refusal = listen(job, token);
    return refusal != null
        ? Change.refused(refusal)
        : apply(new LogRecord.Ended(id, job.token, true, result, at));
  }

  /**
   * The holder has failed: it may have had an effect, so only a class that allows it is tried
   * again.
   */
  public Change failed(String id, long token, String reason, double at, double jitter) {
    Job job = jobs.get(id);
    Refusal refusal = listen(job, token);
    if (refusal != null) {
      return Change.refused(refusal);
    }
    return again(job, at, jitter, reason);
  }

  /** The holder gives the job back, and says that it never began. */
  public Change returned(String id, long token, double at, double jitter) {
    Job job = jobs.get(id);
    Refusal refusal = listen(job, token);
    if (refusal != null) {
      return Change.refused(refusal);
    }
    if (job.state == JobState.STARTED) {
      // It said that it had begun; a job that has begun cannot be handed back unstarted.
      return Change.refused(Refusal.NOT_NOW);
    }
    if (job.leases >= terms.mostLeases()) {
      return apply(
          new LogRecord.Ended(id, job.token, false, "returned " + job.leases + " times", at));
    }
    return apply(new LogRecord.Returned(id, job.token, true, at + backoff(job, jitter)));
  }

  private Refusal listen(Job job, long token) {
    if (job == null) {
      return Refusal.UNKNOWN;
    }
    if (!holds(job, token)) {
      return Refusal.STALE;
    }
    boolean out =
        job.state == JobState.LEASED
            || job.state == JobState.STARTED
            || job.state == JobState.IN_DOUBT;
    return out ? null : Refusal.NOT_NOW;
  }

  /** The fencing check: only the holder of the newest lease is listened to. */
  boolean holds(Job job, long token) {
    return token == job.token && token > 0;
  }

  /**
   * Tries a job again that may have run, if its class allows it and it has tries left; else it has
   * failed.
   */
  private Change again(Job job, double at, double jitter, String reason) {
    double next = at + backoff(job, jitter);
    double since = since(job);
    boolean allowed =
        job.effect() == Idempotency.SAFE
            || (job.effect() == Idempotency.KEYED && next < since + job.accepted().window());
    if (allowed && job.leases < terms.mostLeases()) {
      return apply(
          new LogRecord.Doubted(job.id(), job.token, since),
          new LogRecord.Returned(job.id(), job.token, false, next));
    }
    return apply(new LogRecord.Ended(job.id(), job.token, false, reason, at));
  }

  /** When the job may have run for the first time, now that its lease may have led to a run. */
  private static double since(Job job) {
    return Double.isNaN(job.firstDoubtfulAt) ? job.leasedAt : job.firstDoubtfulAt;
  }

  /** Exponential, with half of it left to chance: {@code jitter} is drawn evenly from 0 to 1. */
  private double backoff(Job job, double jitter) {
    double full =
        Math.min(
            terms.backoffMost(), terms.backoff() * Math.scalb(1, Math.min(30, job.leases - 1)));
    return full * (0.5 + 0.5 * jitter);
  }

  /**
   * Ends what the time has ended: a lease without heartbeat leaves its job in doubt, or puts it
   * back where its class allows that; a doubt that nobody settled is answered as what it is; and
   * answers are forgotten after their time. Leases and doubts go by the monotonic clock alone, so
   * that a clock that jumps cannot make two holders.
   */
  public Change expire(double at, double monotonic, double jitter) {
    List<LogRecord> entries = new ArrayList<>();
    for (Job job : List.copyOf(jobs.values())) {
      boolean out = job.state == JobState.LEASED || job.state == JobState.STARTED;
      if (out && monotonic >= job.leaseEnds) {
        if (job.effect() == Idempotency.UNSAFE) {
          entries.addAll(apply(new LogRecord.Doubted(job.id(), job.token, since(job))).entries());
          job.leaseEnds = monotonic + terms.doubt();
        } else {
          entries.addAll(again(job, at, jitter, "lease ran out").entries());
        }
      } else if (job.state == JobState.IN_DOUBT && monotonic >= job.leaseEnds) {
        entries.addAll(
            apply(
                    new LogRecord.Ended(
                        job.id(),
                        job.token,
                        false,
                        "in doubt: it may have run, and was not started again",
                        at))
                .entries());
      } else if (job.state == JobState.ACCEPTED && !mayRun(job, at)) {
        entries.addAll(
            apply(
                    new LogRecord.Ended(
                        job.id(),
                        job.token,
                        false,
                        "it may have run, and the time in which a repeat is dropped has gone",
                        at))
                .entries());
      } else if (job.state.ended() && at - job.endedAt >= terms.keepResults()) {
        entries.addAll(apply(new LogRecord.Forgotten(job.id())).entries());
      }
    }
    return new Change(entries, null);
  }

  /**
   * What a restart may conclude once everything is replayed: every lease that was out is given its
   * full time anew, since its worker may be at work and knows nothing of the restart. Nobody else
   * gets the job meanwhile.
   */
  public void recovered(double monotonic) {
    for (Job job : jobs.values()) {
      if (job.state == JobState.LEASED || job.state == JobState.STARTED) {
        job.leaseEnds = monotonic + terms.lease();
      } else if (job.state == JobState.IN_DOUBT) {
        job.leaseEnds = monotonic + terms.doubt();
      }
    }
  }

  /** Puts a failed job back at its operator's word; one that may not run again stays. */
  public Change requeue(String id, double at) {
    Job job = jobs.get(id);
    if (job == null) {
      return Change.refused(Refusal.UNKNOWN);
    }
    boolean never = Double.isNaN(job.firstDoubtfulAt);
    if (job.state != JobState.FAILED || (!never && job.effect() != Idempotency.SAFE)) {
      return Change.refused(Refusal.NOT_NOW);
    }
    LogRecord.Accepted first = job.accepted();
    return apply(
        new LogRecord.Forgotten(id),
        new LogRecord.Accepted(
            id, first.effect(), first.key(), first.window(), 0, at, first.payload()));
  }

  /** Drops a job that has ended. */
  public Change drop(String id) {
    Job job = jobs.get(id);
    if (job == null) {
      return Change.refused(Refusal.UNKNOWN);
    }
    return job.state.ended() ? apply(new LogRecord.Forgotten(id)) : Change.refused(Refusal.NOT_NOW);
  }

  // ---- Entries ----

  private Change apply(LogRecord... entries) {
    for (LogRecord entry : entries) {
      replay(entry);
    }
    return Change.of(entries);
  }

  /**
   * Applies an entry of the log. An {@link IllegalStateException} says that it cannot follow those
   * before it, which no log of this program's making does.
   */
  public void replay(LogRecord entry) {
    if (entry instanceof LogRecord.Tokens tokens) {
      highestToken = Math.max(highestToken, tokens.highest());
      return;
    }
    if (entry instanceof LogRecord.Accepted accepted) {
      if (jobs.putIfAbsent(accepted.id(), new Job(accepted)) != null) {
        throw new IllegalStateException("accepted twice: " + accepted.id());
      }
      return;
    }
    Job job = jobs.get(entry.id());
    if (job == null) {
      throw new IllegalStateException("about a job that was never accepted: " + entry);
    }
    if (entry instanceof LogRecord.Leased leased) {
      must(job.state == JobState.ACCEPTED && leased.token() > highestToken, entry);
      job.state = JobState.LEASED;
      job.worker = leased.worker();
      job.token = leased.token();
      job.leasedAt = leased.at();
      job.leases++;
      highestToken = leased.token();
    } else if (entry instanceof LogRecord.Started started) {
      must(!job.state.ended() && started.token() == job.token, entry);
      job.state = JobState.STARTED;
      doubt(job, started.token(), started.since());
    } else if (entry instanceof LogRecord.Doubted doubted) {
      must(!job.state.ended() && doubted.token() == job.token, entry);
      job.state = JobState.IN_DOUBT;
      doubt(job, doubted.token(), doubted.since());
    } else if (entry instanceof LogRecord.Returned returned) {
      must(
          !job.state.ended() && job.state != JobState.ACCEPTED && returned.token() == job.token,
          entry);
      job.state = JobState.ACCEPTED;
      job.notBefore = returned.notBefore();
      if (returned.unstarted() && job.doubtfulToken == job.token) {
        // The doubt was about this lease alone, and its holder has settled it.
        job.firstDoubtfulAt = Double.NaN;
        job.doubtfulToken = 0;
      }
    } else if (entry instanceof LogRecord.Ended ended) {
      must(!job.state.ended() && ended.token() == job.token, entry);
      job.state = ended.done() ? JobState.DONE : JobState.FAILED;
      job.result = ended.result();
      job.endedAt = ended.at();
    } else if (entry instanceof LogRecord.Forgotten) {
      must(job.state.ended(), entry);
      jobs.remove(entry.id());
    }
  }

  private static void must(boolean holds, LogRecord entry) {
    if (!holds) {
      throw new IllegalStateException("cannot follow what came before: " + entry);
    }
  }

  private static void doubt(Job job, long token, double since) {
    if (Double.isNaN(job.firstDoubtfulAt)) {
      job.firstDoubtfulAt = since;
      job.doubtfulToken = token;
    }
  }

  /** The entries that make this ledger out of an empty one, for a snapshot. */
  public List<LogRecord> snapshot() {
    List<LogRecord> entries = new ArrayList<>();
    for (Job job : jobs.values()) {
      LogRecord.Accepted first = job.accepted();
      int before = job.token == 0 ? job.leases : job.leases - 1;
      entries.add(
          new LogRecord.Accepted(
              first.id(),
              first.effect(),
              first.key(),
              first.window(),
              before,
              first.at(),
              first.payload()));
    }
    // In the order of their tokens, which only grow in a log.
    jobs.values().stream()
        .filter(job -> job.state != JobState.ACCEPTED || job.token > 0)
        .sorted((a, b) -> Long.compare(a.token, b.token))
        .forEach(job -> snapshot(job, entries));
    entries.add(new LogRecord.Tokens(highestToken));
    return entries;
  }

  private static void snapshot(Job job, List<LogRecord> entries) {
    if (job.token > 0) {
      entries.add(new LogRecord.Leased(job.id(), job.worker, job.token, job.leasedAt));
    }
    if (!Double.isNaN(job.firstDoubtfulAt)) {
      entries.add(
          job.state == JobState.STARTED
              ? new LogRecord.Started(job.id(), job.token, job.firstDoubtfulAt)
              : new LogRecord.Doubted(job.id(), job.token, job.firstDoubtfulAt));
    }
    if (job.state == JobState.ACCEPTED) {
      entries.add(new LogRecord.Returned(job.id(), job.token, false, job.notBefore));
    } else if (job.state.ended()) {
      entries.add(
          new LogRecord.Ended(
              job.id(), job.token, job.state == JobState.DONE, job.result, job.endedAt));
    }
  }

  // ---- What stands ----

  /** The job of this id, or null. */
  public Job job(String id) {
    return jobs.get(id);
  }

  /** All jobs, in the order in which they were taken. */
  public Collection<Job> jobs() {
    return Collections.unmodifiableCollection(jobs.values());
  }

  /** The largest token given out. */
  public long highestToken() {
    return highestToken;
  }
}
