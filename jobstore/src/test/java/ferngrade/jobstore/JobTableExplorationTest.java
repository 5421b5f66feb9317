package ferngrade.jobstore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.Idempotency;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Guards against an unsafe job that runs twice. Explores all reachable states of up to two jobs,
 * two workers and one restart of the node: messages are delayed, duplicated, reordered or lost,
 * leases may expire in any state, and the node may crash at any point.
 */
class JobTableExplorationTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e18, 3, 0, 0);
  private static final double START_MILLIS = 1000;
  private static final int MAX_STATES = 2_000_000;

  /**
   * A lease sent to a worker or a report sent by it. A report stays in flight after it is received,
   * since the worker may send it again.
   */
  private record Message(String job, long token, String type) implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      return toString().compareTo(other.toString());
    }
  }

  /**
   * A state of the system: the stored records, the messages in flight to and from workers, and the
   * number of runs of each job.
   */
  private static final class State {
    List<LogRecord> stored = new ArrayList<>();

    /** The leases in flight to their worker. */
    Set<Message> grants = new TreeSet<>();

    Set<Message> reports = new TreeSet<>();
    int[] runs = new int[2];
    int crashes;
    int expiries;

    State copy() {
      State copy = new State();
      copy.stored = new ArrayList<>(stored);
      copy.grants = new TreeSet<>(grants);
      copy.reports = new TreeSet<>(reports);
      copy.runs = runs.clone();
      copy.crashes = crashes;
      copy.expiries = expiries;
      return copy;
    }

    String key() {
      return stored + "|" + grants + "|" + reports + "|" + runs[0] + runs[1] + crashes + expiries;
    }
  }

  private record Exploration(int states, String violation) {}

  private static Exploration explore(
      Supplier<JobTable> tables, Idempotency idempotency, int jobs, int expiries) {
    Deque<State> unexplored = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    State initial = new State();
    JobTable initialTable = tables.get();
    for (int j = 0; j < jobs; j++) {
      initialTable.accept(
          new JobSubmission("j" + j, idempotency, "", 0, new byte[0]), START_MILLIS);
    }
    initial.stored = initialTable.snapshot();
    unexplored.add(initial);
    seen.add(initial.key());
    while (!unexplored.isEmpty()) {
      State state = unexplored.poll();
      for (int j = 0; j < jobs; j++) {
        if (state.runs[j] > 1 && idempotency == Idempotency.UNSAFE) {
          return new Exploration(seen.size(), "j" + j + " ran twice: " + state.key());
        }
      }
      for (State next : next(state, tables, jobs, expiries)) {
        if (seen.add(next.key())) {
          unexplored.add(next);
        }
      }
      assertTrue(seen.size() < MAX_STATES, "more states than expected");
    }
    return new Exploration(seen.size(), null);
  }

  private static JobTable load(State state, Supplier<JobTable> tables) {
    JobTable table = tables.get();
    state.stored.forEach(table::replay);
    table.recovered(0);
    return table;
  }

  private static List<State> next(State state, Supplier<JobTable> tables, int jobs, int expiries) {
    List<State> nextStates = new ArrayList<>();
    for (int j = 0; j < jobs; j++) {
      String id = "j" + j;
      for (String worker : new String[] {"w0", "w1"}) {
        JobTable table = load(state, tables);
        if (table.lease(id, worker, START_MILLIS, 0).allowed()) {
          State next = state.copy();
          next.stored = table.snapshot();
          next.grants.add(new Message(id, table.job(id).orElseThrow().token(), worker));
          nextStates.add(next);
          if (state.crashes < 1) {
            // The node crashes after storing the lease and before sending it to the worker.
            State crashed = state.copy();
            crashed.stored = table.snapshot();
            crashed.crashes++;
            nextStates.add(crashed);
          }
        }
      }
    }
    for (Message grant : state.grants) {
      // The worker receives the lease and either starts the job or returns it unstarted. Its
      // reports may arrive late or twice.
      State started = state.copy();
      started.grants.remove(grant);
      started.runs[grant.job().charAt(1) - '0']++;
      started.reports.add(new Message(grant.job(), grant.token(), "started"));
      started.reports.add(new Message(grant.job(), grant.token(), "done"));
      nextStates.add(started);
      State returned = state.copy();
      returned.grants.remove(grant);
      returned.reports.add(new Message(grant.job(), grant.token(), "returned"));
      nextStates.add(returned);
    }
    for (Message report : state.reports) {
      JobTable table = load(state, tables);
      JobChange change =
          switch (report.type()) {
            case "started" -> table.started(report.job(), report.token());
            case "done" -> table.done(report.job(), report.token(), "r", START_MILLIS);
            default -> table.returned(report.job(), report.token(), START_MILLIS, 0);
          };
      if (change.allowed()) {
        State received = state.copy();
        received.stored = table.snapshot();
        nextStates.add(received);
      }
      State lost = state.copy();
      lost.reports.remove(report);
      nextStates.add(lost);
    }
    if (state.expiries < expiries) {
      JobTable table = load(state, tables);
      if (!table.expire(START_MILLIS, 1e9, 0).records().isEmpty()) {
        State expired = state.copy();
        expired.stored = table.snapshot();
        expired.expiries++;
        nextStates.add(expired);
      }
    }
    return nextStates;
  }

  @Test
  void noUnsafeJobRunsTwiceInAnyState() {
    Exploration oneJob = explore(() -> new JobTable(SETTINGS), Idempotency.UNSAFE, 1, 2);
    Exploration twoJobs =
        explore(
            () -> new JobTable(new JobTableSettings(100, 100, 1e18, 2, 0, 0)),
            Idempotency.UNSAFE,
            2,
            1);
    System.out.println(
        "states: " + oneJob.states() + " with one job, " + twoJobs.states() + " with two");
    assertNull(oneJob.violation());
    assertNull(twoJobs.violation());
    assertTrue(
        oneJob.states() > 100 && twoJobs.states() > 10_000,
        oneJob.states() + " and " + twoJobs.states());
  }

  @Test
  void explorationDetectsMissingFencingCheck() {
    Exploration mutant =
        explore(
            () ->
                new JobTable(SETTINGS) {
                  @Override
                  boolean isCurrentHolder(Job job, long token) {
                    return true;
                  }
                },
            Idempotency.UNSAFE,
            1,
            2);
    assertNotNull(mutant.violation());
  }

  @Test
  void snapshotReproducesTable() {
    JobTable table = new JobTable(SETTINGS);
    table.accept(
        new JobSubmission("a", Idempotency.KEYED, "k", 500, new byte[] {1, 2}), START_MILLIS);
    table.accept(new JobSubmission("b", Idempotency.UNSAFE, "", 0, new byte[0]), START_MILLIS);
    table.lease("a", "w", START_MILLIS, 0);
    table.failed("a", 1, "broken", START_MILLIS + 1, 0.5);
    table.lease("b", "w", START_MILLIS, 0);
    table.expire(START_MILLIS, 1e9, 0);
    JobTable reloaded = new JobTable(SETTINGS);
    table.snapshot().forEach(reloaded::replay);
    assertEquals(table.snapshot(), reloaded.snapshot());
    assertEquals(JobState.ACCEPTED, reloaded.job("a").orElseThrow().state());
    assertEquals(JobState.IN_DOUBT, reloaded.job("b").orElseThrow().state());
    assertEquals(2, reloaded.highestToken());
    // The deduplication window starts when the lease that may have led to a run is granted, not
    // when it expires.
    assertTrue(reloaded.lease("a", "w", START_MILLIS + 400, 0).allowed());
    JobChange invalidState = JobChange.rejected(RejectionReason.INVALID_STATE);
    JobTable afterWindow = new JobTable(SETTINGS);
    table.snapshot().forEach(afterWindow::replay);
    assertEquals(invalidState, afterWindow.lease("a", "w", START_MILLIS + 500, 0));
    // The job must not be leased either if the clock has jumped to a time before the first run.
    assertEquals(invalidState, afterWindow.lease("a", "w", START_MILLIS - 3_600_000, 0));
  }
}
