package ferngrade.consensus;

/**
 * A message that members send to each other. The codec writes the components of a record in the
 * order of their names, so they must not be renamed.
 */
sealed interface MemberMessage {
  /** Forwards a proposal to the leader. */
  record Forward(long id, Object command) implements MemberMessage {}

  /**
   * The leader's answer to a {@link Forward}: the result if {@code done}, else the reason why the
   * outcome is unknown.
   */
  record Answered(long id, boolean done, Object result) implements MemberMessage {}

  /** A message of the algorithm, addressed to one of the receiving member's endpoints. */
  record Addressed(String endpoint, Object message) implements MemberMessage {}

  /** Requests admission under this endpoint, for a member that has lost its disk. */
  record Join(String endpoint) implements MemberMessage {}
}
