package ferngrade.consensus;

import ferngrade.node.Timers;
import java.util.function.Consumer;

/** Forwards only the first outcome; reports an unknown outcome after a timeout. */
final class TimedOutcome implements ProposalOutcome {
  private final ProposalOutcome outcome;
  private final Timers.Timer timer;
  private boolean completed;

  TimedOutcome(ProposalOutcome outcome, Timers timers, double timeoutMillis, String timeoutReason) {
    this.outcome = outcome;
    this.timer = timers.after(timeoutMillis, () -> unknown(timeoutReason));
  }

  private void complete(Consumer<ProposalOutcome> notification) {
    if (!completed) {
      completed = true;
      timer.cancel();
      notification.accept(outcome);
    }
  }

  @Override
  public void done(Object result) {
    complete(target -> target.done(result));
  }

  @Override
  public void unknown(String reason) {
    complete(target -> target.unknown(reason));
  }
}
