package ferngrade.consensus;

/**
 * What members send each other. The codec writes a record's components in the order of their names:
 * they must not be renamed.
 */
sealed interface MemberMessage {
  /** A proposal on its way to the leader. */
  record Forward(long id, Object command) implements MemberMessage {}

  /** The leader's answer to a {@link Forward}; the result is valid if it is done. */
  record Answered(long id, boolean done, Object result) implements MemberMessage {}

  /** A message of the algorithm for one of a member's endpoints. */
  record Addressed(String endpoint, Object message) implements MemberMessage {}

  /** A member that has lost its disk asks to be admitted again under this endpoint. */
  record Join(String endpoint) implements MemberMessage {}
}
