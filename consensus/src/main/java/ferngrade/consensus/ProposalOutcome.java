package ferngrade.consensus;

import java.util.function.Consumer;

/** Notified once of what became of a proposal, on the member's thread. */
public interface ProposalOutcome {
  /** The command is committed and was applied with this result. */
  void done(Object result);

  /** The command may be committed or not, now or later. */
  void unknown(String reason);

  /** An outcome that calls one of these. */
  static ProposalOutcome of(Consumer<Object> done, Consumer<String> unknown) {
    return new ProposalOutcome() {
      @Override
      public void done(Object result) {
        done.accept(result);
      }

      @Override
      public void unknown(String reason) {
        unknown.accept(reason);
      }
    };
  }
}
