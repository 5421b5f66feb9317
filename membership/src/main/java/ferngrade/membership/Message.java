package ferngrade.membership;

import java.util.List;

/** A message that members exchange in datagrams. */
public sealed interface Message {
  /** The classes of messages. Their order defines the wire format. */
  List<Class<?>> CLASSES =
      List.of(
          MembershipUpdate.class,
          MemberStatus.class,
          Envelope.class,
          Ping.class,
          Ack.class,
          PingRequest.class,
          Nack.class,
          Digest.class,
          Sync.class);

  /**
   * A message with its sender's own status and some of the updates that the sender has received.
   */
  record Envelope(MembershipUpdate self, Message message, List<MembershipUpdate> news) {
    boolean isValid() {
      return self != null
          && message != null
          && news != null
          && self.isValid()
          && news.stream().allMatch(update -> update != null && update.isValid())
          && (!(message instanceof Sync sync)
              || (sync.all() != null
                  && sync.all().stream().allMatch(update -> update != null && update.isValid())))
          && (!(message instanceof PingRequest request)
              || (request.name() != null && request.address() != null));
    }
  }

  /** Requests an acknowledgement. */
  record Ping(long number) implements Message {}

  /** Acknowledges a ping or a ping request of this number. */
  record Ack(long number) implements Message {}

  /**
   * Asks the receiver to ping the member of this name, at this address, on behalf of the sender.
   */
  record PingRequest(long number, String name, String address) implements Message {}

  /** Reports that the helper is reachable but the target of a ping request has not answered yet. */
  record Nack(long number) implements Message {}

  /**
   * A digest of the sender's full state. A receiver with a different state answers with its full
   * state.
   */
  record Digest(long hash) implements Message {}

  /**
   * A part of the sender's full state. If {@code asks} is true, the receiver sends its full state
   * in return. {@code asks} is true only in the last part of a transfer, and always false in an
   * answer.
   */
  record Sync(List<MembershipUpdate> all, boolean asks) implements Message {}
}
