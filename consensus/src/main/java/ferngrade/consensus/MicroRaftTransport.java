package ferngrade.consensus;

import ferngrade.codec.Codec;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.transport.Transport;

/** Sends the messages of the algorithm over the member's connections. */
final class MicroRaftTransport implements Transport {
  private final RaftMember.Links links;
  private final Codec codec;
  private final StorageSuspension suspension;
  private final ElectionMonitor elections;

  MicroRaftTransport(
      RaftMember.Links links,
      Codec codec,
      StorageSuspension suspension,
      ElectionMonitor elections) {
    this.links = links;
    this.codec = codec;
    this.suspension = suspension;
    this.elections = elections;
  }

  @Override
  public void send(RaftEndpoint target, RaftMessage message) {
    if (suspension.active()) {
      return;
    }
    if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
      elections.campaigning();
    }
    RaftMemberId id = (RaftMemberId) target;
    links.send(id.member(), codec.write(new MemberMessage.Addressed(id.name(), message)));
  }

  @Override
  public boolean isReachable(RaftEndpoint endpoint) {
    return true;
  }
}
