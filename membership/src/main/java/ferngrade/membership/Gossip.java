package ferngrade.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Holds the updates that are piggybacked on other messages. Each update is sent a number of times
 * that grows with the logarithm of the number of members; the updates that were sent least often
 * are sent first. An update about a member replaces the queued update about the same member.
 */
final class Gossip {
  private static final double TRANSMISSIONS_FACTOR = 4;

  private final Map<String, QueuedUpdate> queuedByMember = new HashMap<>();
  private long order;

  private static final class QueuedUpdate {
    final MembershipUpdate update;
    final long order;
    int transmissions;

    QueuedUpdate(MembershipUpdate update, long order) {
      this.update = update;
      this.order = order;
    }
  }

  void add(MembershipUpdate update) {
    queuedByMember.put(update.name(), new QueuedUpdate(update, order++));
  }

  /**
   * Returns the updates to send with one message, with a total size of at most {@code bytes}, and
   * counts them as sent; {@code members} is the number of members.
   */
  List<MembershipUpdate> take(int bytes, int members) {
    int maxTransmissions = (int) Math.ceil(TRANSMISSIONS_FACTOR * Math.log10(members + 1.0)) + 1;
    List<QueuedUpdate> candidates = new ArrayList<>(queuedByMember.values());
    candidates.sort(
        Comparator.<QueuedUpdate>comparingInt(queued -> queued.transmissions)
            .thenComparing(queued -> -queued.order));
    List<MembershipUpdate> taken = new ArrayList<>();
    int remainingBytes = bytes;
    for (QueuedUpdate queued : candidates) {
      if (queued.update.maxEncodedBytes() <= remainingBytes) {
        remainingBytes -= queued.update.maxEncodedBytes();
        taken.add(queued.update);
        if (++queued.transmissions >= maxTransmissions) {
          queuedByMember.remove(queued.update.name());
        }
      }
    }
    return taken;
  }
}
