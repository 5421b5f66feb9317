package ferngrade.consensus;

import io.microraft.RaftEndpoint;

/**
 * Identifies an endpoint of the log. Initially this is the member's name. A member that rejoins
 * after it has lost its disk becomes a new endpoint, {@code name#nonce}, so that votes and
 * acknowledgements that were stored on the lost disk are neither repeated nor contradicted. The
 * codec writes the component by its name, so it must not be renamed.
 */
record RaftMemberId(String name) implements RaftEndpoint {
  private static final char NONCE_SEPARATOR = '#';

  @Override
  public Object getId() {
    return name;
  }

  /** Returns the name of the member that owns or owned this endpoint. */
  String member() {
    int separator = name.indexOf(NONCE_SEPARATOR);
    return separator < 0 ? name : name.substring(0, separator);
  }

  /** Creates the endpoint of a member that has lost its disk. */
  static RaftMemberId rejoining(String member, String nonce) {
    return new RaftMemberId(member + NONCE_SEPARATOR + nonce);
  }
}
