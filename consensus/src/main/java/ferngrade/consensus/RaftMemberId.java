package ferngrade.consensus;

import io.microraft.RaftEndpoint;

/**
 * Who takes part in the log. At first that is a member's name; a member that was taken in anew
 * after the loss of its disk is another one to the log, {@code name#nonce}, so that what the lost
 * disk had promised binds nobody and frees nobody.
 */
record RaftMemberId(String name) implements RaftEndpoint {
  private static final char ANEW = '#';

  @Override
  public Object getId() {
    return name;
  }

  /** The member that this is, or was. */
  String member() {
    int anew = name.indexOf(ANEW);
    return anew < 0 ? name : name.substring(0, anew);
  }

  /** A member that has lost its disk, as another one to the log. */
  static RaftMemberId anew(String member, String nonce) {
    return new RaftMemberId(member + ANEW + nonce);
  }
}
