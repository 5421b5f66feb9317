package ferngrade.membership;

import java.util.List;

/** What members send each other by datagrams. */
public sealed interface Message {
  /** The classes of messages, in the order of the format. */
  List<Class<?>> CLASSES =
      List.of(
          MembershipUpdate.class,
          MemberStatus.class,
          Letter.class,
          Ping.class,
          Ack.class,
          PingFor.class,
          Nack.class,
          Digest.class,
          Sync.class);

  /** A message, with what its sender says of itself and some of the news that it has heard. */
  record Letter(MembershipUpdate self, Message message, List<MembershipUpdate> news) {
    boolean usable() {
      return self != null
          && message != null
          && news != null
          && self.usable()
          && news.stream().allMatch(each -> each != null && each.usable())
          && (!(message instanceof Sync sync)
              || (sync.all() != null
                  && sync.all().stream().allMatch(each -> each != null && each.usable())))
          && (!(message instanceof PingFor asked)
              || (asked.name() != null && asked.address() != null));
    }
  }

  /** Are you there? */
  record Ping(long number) implements Message {}

  /** The answer to a ping of this number, or to a request for one. */
  record Ack(long number) implements Message {}

  /** Ping the member of this name, at this address, for me. */
  record PingFor(long number, String name, String address) implements Message {}

  /** I am there, and whom you asked me to ping has not answered yet. */
  record Nack(long number) implements Message {}

  /**
   * A digest of all that the sender knows; whoever knows otherwise answers with all that it knows.
   */
  record Digest(long hash) implements Message {}

  /**
   * A part of all that the sender knows; on the last part of a first telling it asks for the same.
   */
  record Sync(List<MembershipUpdate> all, boolean asks) implements Message {}
}
