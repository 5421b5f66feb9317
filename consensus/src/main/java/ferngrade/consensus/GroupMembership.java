package ferngrade.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import java.util.Collection;
import java.util.Optional;

/** Which endpoints the log knows, and how the leader admits one that has lost its disk. */
final class GroupMembership {
  private final RaftNode node;
  private final RaftMember.Group group;

  GroupMembership(RaftNode node, RaftMember.Group group) {
    this.node = node;
    this.group = group;
  }

  /** Whether the log knows this endpoint, as a voter if its member is to be one. */
  boolean admitted(RaftMemberId endpoint) {
    RaftGroupMembers members = node.getCommittedMembers();
    Collection<RaftEndpoint> required =
        group.voters().contains(endpoint.member())
            ? members.getVotingMembers()
            : members.getMembers();
    return required.contains(endpoint);
  }

  /**
   * Admits an endpoint, a step with each request: the endpoint that its member had before is
   * removed first, for the member has lost its votes; then the new one is added as a learner, and
   * then promoted. Each step is one change that a majority has to commit. Called on the leader.
   */
  void admit(RaftMemberId endpoint) {
    RaftGroupMembers committed = node.getCommittedMembers();
    boolean changing = committed.getLogIndex() != node.getEffectiveMembers().getLogIndex();
    if (changing || admitted(endpoint)) {
      return;
    }
    Optional<RaftEndpoint> previous = previousEndpoint(committed, endpoint);
    MembershipChangeMode mode;
    if (previous.isPresent()) {
      mode = MembershipChangeMode.REMOVE_MEMBER;
    } else if (committed.getMembers().contains(endpoint)) {
      mode = MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
    } else {
      mode = MembershipChangeMode.ADD_LEARNER;
    }
    // The result shows in the members, and the endpoint asks again if need be.
    node.changeMembership(previous.orElse(endpoint), mode, committed.getLogIndex());
  }

  private static Optional<RaftEndpoint> previousEndpoint(
      RaftGroupMembers members, RaftMemberId endpoint) {
    return members.getMembers().stream()
        .filter(each -> !each.equals(endpoint))
        .filter(each -> ((RaftMemberId) each).member().equals(endpoint.member()))
        .findFirst();
  }
}
