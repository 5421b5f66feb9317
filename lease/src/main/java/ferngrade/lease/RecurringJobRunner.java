package ferngrade.lease;

import ferngrade.lease.LeaseTable.Slot;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * What the owner of a recurring job does about it: has the log accept each due time, puts the job
 * in, and tells the log what came of it. An answer of the log that never comes is made up for by
 * what the table shows: what this owner began and has not put in yet, it puts in; what it has put
 * in, it tells again.
 *
 * <p>Reads no clock; one for each job, owned by the member's thread.
 */
public final class RecurringJobRunner {
  private final RecurringSchedule job;
  private final LeaseHolder holder;
  private final LeaseTable table;
  private final Actions actions;
  private boolean busy;
  private long epoch;
  private long due;
  private String result;

  /** What the member does for it. */
  public interface Actions {
    /** Proposes a command; one of the two is called, once. */
    void propose(Command command, Consumer<Object> done, Runnable unknown);

    /**
     * Puts the job in; what comes of it is told by {@link RecurringJobRunner#came} or {@link
     * Performer#notPut}.
     */
    void put(long due, long epoch);
  }

  /** The performer of one job. */
  public RecurringJobRunner(
      RecurringSchedule job, LeaseHolder holder, LeaseTable table, Actions actions) {
    this.job = job;
    this.holder = holder;
    this.table = table;
    this.actions = actions;
  }

  /**
   * Looks what is to be done at this time of the member's monotonic clock, ms, and its wall clock,
   * Unix ms.
   */
  public void look(double now, long wall) {
    OptionalLong held = holder.epoch(job.shard(), now, table);
    if (busy || held.isEmpty()) {
      return;
    }
    Slot slot = table.slot(job.shard());
    if (slot.due() < due) {
      // The log has answered for more than this member's table has applied yet: what it shows is
      // over.
      return;
    }
    RecurringSchedule.Decision decision = job.decide(table.wall(wall), slot, held.getAsLong());
    switch (decision.step()) {
      case BEGIN, SKIP -> begin(decision, held.getAsLong());
      case BEGUN, REPEAT -> {
        if (result != null && due == slot.due() && epoch == held.getAsLong()) {
          finish();
        } else {
          put(slot.due(), held.getAsLong());
        }
      }
      case DOUBT ->
          settle(slot.due(), held.getAsLong(), "in doubt: its owner was lost while putting it in");
      default -> {}
    }
  }

  private void begin(RecurringSchedule.Decision decision, long under) {
    busy = true;
    actions.propose(
        new Command.Begin(job.shard(), under, decision.due()),
        answer -> {
          busy = false;
          if (answer instanceof Command.Begun begun
              && begun.verdict() == Command.Verdict.ACCEPTED) {
            if (decision.step() == RecurringSchedule.Step.SKIP) {
              settle(decision.due(), under, "skipped");
            } else {
              put(decision.due(), under);
            }
          }
        },
        () -> busy = false);
  }

  private void put(long time, long under) {
    busy = true;
    result = null;
    due = time;
    epoch = under;
    actions.put(time, under);
  }

  /** What came of the job that was put in. */
  public void came(String what) {
    result = what;
    finish();
  }

  /**
   * The job was certainly not put in: as long as the shard is held under the same epoch, it is
   * tried again.
   */
  public void notPut() {
    busy = false;
  }

  private void settle(long time, long under, String what) {
    due = time;
    epoch = under;
    result = what;
    finish();
  }

  private void finish() {
    busy = true;
    actions.propose(
        new Command.Finish(job.shard(), epoch, due, result),
        answer -> busy = false,
        () -> busy = false);
  }
}
