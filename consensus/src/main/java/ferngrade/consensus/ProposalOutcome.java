package ferngrade.consensus;

import java.util.function.Consumer;

/** Receives the outcome of a proposal, once, on the member's thread. */
public interface ProposalOutcome {
  /** The command is committed and was applied with this result. */
  void done(Object result);

  /** It is unknown whether the command is committed. The command may be committed later. */
  void unknown(String reason);

  /** Creates an outcome that calls one of these consumers. */
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
