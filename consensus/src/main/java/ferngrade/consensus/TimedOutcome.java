package ferngrade.consensus;

import ferngrade.node.Timers;
import java.util.function.Consumer;

/** Passes on the first outcome alone; a timeout counts as an unknown one. */
final class TimedOutcome implements ProposalOutcome {
  private final ProposalOutcome outcome;
  private final Timers.Timer timer;
  private boolean completed;

  TimedOutcome(ProposalOutcome outcome, Timers timers, double timeoutMillis, String timeoutReason) {
    this.outcome = outcome;
    this.timer = timers.after(timeoutMillis, () -> unknown(timeoutReason));
  }

  private void complete(Consumer<ProposalOutcome> how) {
    if (!completed) {
      completed = true;
      timer.cancel();
      how.accept(outcome);
    }
  }

  @Override
  public void done(Object result) {
    complete(each -> each.done(result));
  }

  @Override
  public void unknown(String reason) {
    complete(each -> each.unknown(reason));
  }
}
