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
 * Every state that two jobs, two workers and two lives of a node can get into, with messages that
 * come late, twice, out of order or never, leases that run out anywhere, and a crash anywhere.
 */
class JobTableExplorationTest {
  private static final JobTableSettings SETTINGS = new JobTableSettings(100, 100, 1e18, 3, 0, 0);
  private static final double AT = 1000;
  private static final int MOST_STATES = 2_000_000;

  /**
   * A message of a worker's: it stays in flight after it was received, since a worker may send it
   * again.
   */
  private record Message(String job, long token, String what) implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      return toString().compareTo(other.toString());
    }
  }

  /**
   * The state of the system: what is stored, what is in flight to and from workers, and what has
   * run.
   */
  private static final class State {
    List<LogRecord> stored = new ArrayList<>();

    /** Leases on their way to their worker. */
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

  private record Explored(int states, String broken) {}

  private static Explored explore(
      Supplier<JobTable> tables, Idempotency idempotency, int jobs, int expiries) {
    Deque<State> open = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    State start = new State();
    JobTable first = tables.get();
    for (int j = 0; j < jobs; j++) {
      first.accept(new JobSubmission("j" + j, idempotency, "", 0, new byte[0]), AT);
    }
    start.stored = first.snapshot();
    open.add(start);
    seen.add(start.key());
    while (!open.isEmpty()) {
      State state = open.poll();
      for (int j = 0; j < jobs; j++) {
        if (state.runs[j] > 1 && idempotency == Idempotency.UNSAFE) {
          return new Explored(seen.size(), "j" + j + " ran twice: " + state.key());
        }
      }
      for (State next : next(state, tables, jobs, expiries)) {
        if (seen.add(next.key())) {
          open.add(next);
        }
      }
      assertTrue(seen.size() < MOST_STATES, "more states than expected");
    }
    return new Explored(seen.size(), null);
  }

  private static JobTable load(State state, Supplier<JobTable> tables) {
    JobTable table = tables.get();
    state.stored.forEach(table::replay);
    table.recovered(0);
    return table;
  }

  private static List<State> next(State state, Supplier<JobTable> tables, int jobs, int expiries) {
    List<State> all = new ArrayList<>();
    for (int j = 0; j < jobs; j++) {
      String id = "j" + j;
      for (String worker : new String[] {"w0", "w1"}) {
        JobTable table = load(state, tables);
        if (table.lease(id, worker, AT, 0).allowed()) {
          State next = state.copy();
          next.stored = table.snapshot();
          next.grants.add(new Message(id, table.job(id).orElseThrow().token(), worker));
          all.add(next);
          if (state.crashes < 1) {
            // The node fails between storing the lease and sending it to the worker.
            State died = state.copy();
            died.stored = table.snapshot();
            died.crashes++;
            all.add(died);
          }
        }
      }
    }
    for (Message grant : state.grants) {
      // The worker has it: it begins, or returns it unstarted. Its reports may arrive late or
      // twice.
      State begun = state.copy();
      begun.grants.remove(grant);
      begun.runs[grant.job().charAt(1) - '0']++;
      begun.reports.add(new Message(grant.job(), grant.token(), "started"));
      begun.reports.add(new Message(grant.job(), grant.token(), "done"));
      all.add(begun);
      State back = state.copy();
      back.grants.remove(grant);
      back.reports.add(new Message(grant.job(), grant.token(), "returned"));
      all.add(back);
    }
    for (Message report : state.reports) {
      JobTable table = load(state, tables);
      JobChange change =
          switch (report.what()) {
            case "started" -> table.started(report.job(), report.token());
            case "done" -> table.done(report.job(), report.token(), "r", AT);
            default -> table.returned(report.job(), report.token(), AT, 0);
          };
      if (change.allowed()) {
        State received = state.copy();
        received.stored = table.snapshot();
        all.add(received);
      }
      State lost = state.copy();
      lost.reports.remove(report);
      all.add(lost);
    }
    if (state.expiries < expiries) {
      JobTable table = load(state, tables);
      if (!table.expire(AT, 1e9, 0).records().isEmpty()) {
        State expired = state.copy();
        expired.stored = table.snapshot();
        expired.expiries++;
        all.add(expired);
      }
    }
    return all;
  }

  @Test
  void noUnsafeJobRunsTwiceInAnyState() {
    Explored one = explore(() -> new JobTable(SETTINGS), Idempotency.UNSAFE, 1, 2);
    Explored two =
        explore(
            () -> new JobTable(new JobTableSettings(100, 100, 1e18, 2, 0, 0)),
            Idempotency.UNSAFE,
            2,
            1);
    System.out.println("states: " + one.states() + " with one job, " + two.states() + " with two");
    assertNull(one.broken());
    assertNull(two.broken());
    assertTrue(one.states() > 100 && two.states() > 10_000, one.states() + " and " + two.states());
  }

  @Test
  void aMissingFencingCheckIsFound() {
    Explored mutant =
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
    assertNotNull(mutant.broken());
  }

  @Test
  void aSnapshotReproducesTheTableThatItWasMadeFrom() {
    JobTable table = new JobTable(SETTINGS);
    table.accept(new JobSubmission("a", Idempotency.KEYED, "k", 500, new byte[] {1, 2}), AT);
    table.accept(new JobSubmission("b", Idempotency.UNSAFE, "", 0, new byte[0]), AT);
    table.lease("a", "w", AT, 0);
    table.failed("a", 1, "broken", AT + 1, 0.5);
    table.lease("b", "w", AT, 0);
    table.expire(AT, 1e9, 0);
    JobTable again = new JobTable(SETTINGS);
    table.snapshot().forEach(again::replay);
    assertEquals(table.snapshot(), again.snapshot());
    assertEquals(JobState.ACCEPTED, again.job("a").orElseThrow().state());
    assertEquals(JobState.IN_DOUBT, again.job("b").orElseThrow().state());
    assertEquals(2, again.highestToken());
    // The window counts from the lease that may have run, not from when that was known.
    assertTrue(again.lease("a", "w", AT + 400, 0).allowed());
    JobChange invalidState = JobChange.rejected(RejectionReason.INVALID_STATE);
    JobTable late = new JobTable(SETTINGS);
    table.snapshot().forEach(late::replay);
    assertEquals(invalidState, late.lease("a", "w", AT + 500, 0));
    // A clock that went back before the first run allows nothing either.
    assertEquals(invalidState, late.lease("a", "w", AT - 3_600_000, 0));
  }
}
