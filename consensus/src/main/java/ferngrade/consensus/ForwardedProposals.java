package ferngrade.consensus;

import ferngrade.node.Timers;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Tracks the proposals that were forwarded to a leader and are waiting for its answer. */
final class ForwardedProposals {
  private record Pending(ProposalOutcome outcome, Timers.Timer timeout) {}

  private final Timers timers;
  private final Map<Long, Pending> pending = new HashMap<>();
  private long lastId;

  ForwardedProposals(Timers timers) {
    this.timers = timers;
  }

  /**
   * Registers a proposal and returns its id. The outcome is reported as unknown after the timeout.
   */
  long add(ProposalOutcome outcome, double timeoutMillis) {
    long id = ++lastId;
    Timers.Timer timeout =
        timers.after(
            timeoutMillis,
            () -> {
              pending.remove(id);
              outcome.unknown("the leader did not answer in time");
            });
    pending.put(id, new Pending(outcome, timeout));
    return id;
  }

  /** Completes the proposal that this message answers, unless it has timed out. */
  void complete(MemberMessage.Answered answered) {
    Optional.ofNullable(pending.remove(answered.id()))
        .ifPresent(proposal -> complete(proposal, answered));
  }

  private static void complete(Pending proposal, MemberMessage.Answered answered) {
    proposal.timeout().cancel();
    if (answered.done()) {
      proposal.outcome().done(answered.result());
    } else {
      proposal.outcome().unknown(String.valueOf(answered.result()));
    }
  }
}
