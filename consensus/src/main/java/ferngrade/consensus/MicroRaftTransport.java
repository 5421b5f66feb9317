package ferngrade.consensus;

import ferngrade.codec.Codec;
import io.microraft.RaftEndpoint;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.transport.Transport;

/** Sends the messages of the algorithm over the member's connections. */
final class MicroRaftTransport implements Transport {
  private final RaftMember.MessageSender sender;
  private final Codec codec;
  private final StorageSuspension suspension;
  private final ElectionMonitor elections;

  MicroRaftTransport(
      RaftMember.MessageSender sender,
      Codec codec,
      StorageSuspension suspension,
      ElectionMonitor elections) {
    this.sender = sender;
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
    sender.send(id.member(), codec.write(new MemberMessage.Addressed(id.name(), message)));
  }

  @Override
  public boolean isReachable(RaftEndpoint endpoint) {
    return true;
  }
}
