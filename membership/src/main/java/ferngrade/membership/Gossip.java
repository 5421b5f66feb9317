package ferngrade.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that goes along with other messages, each piece a number of times that grows with the
 * logarithm of the members' number, the least told first. News on a member takes the place of what
 * was to be told of it before.
 */
final class Gossip {
  private static final double TIMES = 4;

  private final Map<String, Item> items = new HashMap<>();
  private long order;

  private static final class Item {
    final MembershipUpdate news;
    final long order;
    int told;

    Item(MembershipUpdate news, long order) {
      this.news = news;
      this.order = order;
    }
  }

  void add(MembershipUpdate news) {
    items.put(news.name(), new Item(news, order++));
  }

  /**
   * Takes what goes with one message, so many bytes at the most; {@code members} is how many there
   * are.
   */
  List<MembershipUpdate> take(int bytes, int members) {
    int times = (int) Math.ceil(TIMES * Math.log10(members + 1.0)) + 1;
    List<Item> least = new ArrayList<>(items.values());
    least.sort(Comparator.<Item>comparingInt(item -> item.told).thenComparing(item -> -item.order));
    List<MembershipUpdate> taken = new ArrayList<>();
    int left = bytes;
    for (Item item : least) {
      if (item.news.bytes() <= left) {
        left -= item.news.bytes();
        taken.add(item.news);
        if (++item.told >= times) {
          items.remove(item.news.name());
        }
      }
    }
    return taken;
  }
}
