package ferngrade.consensus;

import io.microraft.RaftEndpoint;

/**
 * An endpoint of the log. At first that is a member's name; a member that rejoins after the loss of
 * its disk is another endpoint, {@code name#nonce}, so that votes and acknowledgements of the lost
 * disk are neither repeated nor contradicted. The codec writes the component by its name: it must
 * not be renamed.
 */
record RaftMemberId(String name) implements RaftEndpoint {
  private static final char NONCE_SEPARATOR = '#';

  @Override
  public Object getId() {
    return name;
  }

  /** The name of the member that has, or had, this endpoint. */
  String member() {
    int separator = name.indexOf(NONCE_SEPARATOR);
    return separator < 0 ? name : name.substring(0, separator);
  }

  /** The endpoint of a member that has lost its disk. */
  static RaftMemberId rejoining(String member, String nonce) {
    return new RaftMemberId(member + NONCE_SEPARATOR + nonce);
  }
}
