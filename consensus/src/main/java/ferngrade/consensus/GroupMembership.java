package ferngrade.consensus;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.report.RaftGroupMembers;
import java.util.Collection;
import java.util.Optional;

/**
 * Reports which endpoints belong to the group, and admits the new endpoint of a member that has
 * lost its disk.
 */
final class GroupMembership {
  private final RaftNode node;
  private final RaftMember.Group group;

  GroupMembership(RaftNode node, RaftMember.Group group) {
    this.node = node;
    this.group = group;
  }

  /**
   * Returns whether this endpoint belongs to the group. If the endpoint's member is configured as a
   * voter, the endpoint must also be a voter.
   */
  boolean admitted(RaftMemberId endpoint) {
    RaftGroupMembers members = node.getCommittedMembers();
    Collection<RaftEndpoint> required =
        group.voters().contains(endpoint.member())
            ? members.getVotingMembers()
            : members.getMembers();
    return required.contains(endpoint);
  }

  /**
   * Admits an endpoint, one step per request. First the previous endpoint of its member is removed,
   * because the member has lost the record of the votes that it cast. Then the new endpoint is
   * added as a learner, and then promoted. Each step is one membership change that a majority has
   * to commit. Called on the leader.
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
    // The future that the call returns is not needed. A successful change appears in the group
    // members. Otherwise the endpoint repeats its request.
    node.changeMembership(previous.orElse(endpoint), mode, committed.getLogIndex());
  }

  private static Optional<RaftEndpoint> previousEndpoint(
      RaftGroupMembers members, RaftMemberId endpoint) {
    return members.getMembers().stream()
        .filter(member -> !member.equals(endpoint))
        .filter(member -> ((RaftMemberId) member).member().equals(endpoint.member()))
        .findFirst();
  }
}
