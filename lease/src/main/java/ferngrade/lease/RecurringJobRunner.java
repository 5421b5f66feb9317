package ferngrade.lease;

import ferngrade.lease.LeaseTable.Slot;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Submits a recurring job on behalf of the owner of its shard: proposes each due time to the log,
 * submits the job once the log has accepted it, and records the result in the log. If an answer of
 * the log is lost, the runner continues from the state of the table: it submits a job that this
 * owner has begun and not yet submitted, and proposes the result of a submitted job again.
 *
 * <p>Reads no clock. Each job has its own runner, which is confined to the member's thread.
 */
public final class RecurringJobRunner {
  private final RecurringSchedule schedule;
  private final LeaseHolder holder;
  private final LeaseTable table;
  private final Actions actions;
  private boolean pending;
  private long epoch;
  private long due;
  private String result;

  /** The operations that the member performs for the runner. */
  public interface Actions {
    /** Proposes a command. Calls exactly one of the two callbacks, once. */
    void propose(Command command, Consumer<Object> done, Runnable unknown);

    /**
     * Submits the job; the outcome is reported by {@link RecurringJobRunner#resultReceived} or
     * {@link RecurringJobRunner#notSubmitted}.
     */
    void submit(long due, long epoch);
  }

  /** Creates the runner of one job. */
  public RecurringJobRunner(
      RecurringSchedule schedule, LeaseHolder holder, LeaseTable table, Actions actions) {
    this.schedule = schedule;
    this.holder = holder;
    this.table = table;
    this.actions = actions;
  }

  /**
   * Performs the next step, if one is due at this time of the member's monotonic clock, ms, and its
   * wall clock, Unix ms.
   */
  public void tick(double now, long wall) {
    OptionalLong heldEpoch = holder.epoch(schedule.shard(), now, table);
    if (pending || heldEpoch.isEmpty()) {
      return;
    }
    Slot slot = table.slot(schedule.shard());
    if (slot.due() < due) {
      // This member's table is outdated: the log has already answered a proposal for a later due
      // time than the last one in the table.
      return;
    }
    RecurringSchedule.Decision decision =
        schedule.decide(table.correctedWallClock(wall), slot, heldEpoch.getAsLong());
    switch (decision.step()) {
      case BEGIN, SKIP -> proposeDueTime(decision, heldEpoch.getAsLong());
      case BEGUN, REPEAT -> {
        if (result != null && due == slot.due() && epoch == heldEpoch.getAsLong()) {
          proposeResult();
        } else {
          submit(slot.due(), heldEpoch.getAsLong());
        }
      }
      case DOUBT ->
          recordOutcome(
              slot.due(),
              heldEpoch.getAsLong(),
              "in doubt: its owner was lost while putting it in");
      default -> {}
    }
  }

  private void proposeDueTime(RecurringSchedule.Decision decision, long heldEpoch) {
    pending = true;
    actions.propose(
        new Command.Begin(schedule.shard(), heldEpoch, decision.due()),
        answer -> {
          pending = false;
          if (answer instanceof Command.Begun begun
              && begun.verdict() == Command.Verdict.ACCEPTED) {
            if (decision.step() == RecurringSchedule.Step.SKIP) {
              recordOutcome(decision.due(), heldEpoch, "skipped");
            } else {
              submit(decision.due(), heldEpoch);
            }
          }
        },
        () -> pending = false);
  }

  private void submit(long dueTime, long heldEpoch) {
    pending = true;
    result = null;
    due = dueTime;
    epoch = heldEpoch;
    actions.submit(dueTime, heldEpoch);
  }

  /** Handles the result of the job that was submitted. */
  public void resultReceived(String outcome) {
    result = outcome;
    proposeResult();
  }

  /**
   * Handles a job that was certainly not submitted. It is submitted again as long as the shard is
   * held under the same epoch.
   */
  public void notSubmitted() {
    pending = false;
  }

  private void recordOutcome(long dueTime, long heldEpoch, String outcome) {
    due = dueTime;
    epoch = heldEpoch;
    result = outcome;
    proposeResult();
  }

  private void proposeResult() {
    pending = true;
    actions.propose(
        new Command.Finish(schedule.shard(), epoch, due, result),
        answer -> pending = false,
        () -> pending = false);
  }
}
