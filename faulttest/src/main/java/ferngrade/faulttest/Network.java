package ferngrade.faulttest;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A relay in each directed link between members, for connections and for datagrams, and from each
 * to whoever takes its jobs.
 */
final class Network {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> names;
  private final Map<String, Relay> links = new HashMap<>();
  private final Map<String, UdpRelay> gossip = new HashMap<>();
  private final Map<String, Relay> effects = new HashMap<>();

  /**
   * Links among these; when an effect begins to wait in one that holds them, the history says so.
   */
  Network(List<String> names, InetSocketAddress taker, History history, SplittableRandom chance)
      throws InterruptedException {
    this.names = names;
    for (String name : names) {
      Relay effect = new Relay(group, () -> history.add(name, "held", Map.of()));
      effect.to(taker);
      effects.put(name, effect);
      for (String other : names) {
        if (!other.equals(name)) {
          links.put(name + ">" + other, new Relay(group, () -> {}));
          gossip.put(name + ">" + other, new UdpRelay(group, chance.nextLong()));
        }
      }
    }
  }

  /** A member listens there from now on; null where it takes no datagrams. */
  void listens(String name, InetSocketAddress address, InetSocketAddress datagrams) {
    for (String other : names) {
      if (!other.equals(name)) {
        links.get(other + ">" + name).to(address);
        gossip.get(other + ">" + name).to(datagrams);
      }
    }
  }

  InetSocketAddress link(String from, String to) {
    return links.get(from + ">" + to).address();
  }

  InetSocketAddress datagrams(String from, String to) {
    return gossip.get(from + ">" + to).address();
  }

  Relay effects(String name) {
    return effects.get(name);
  }

  /** The links from a member, to it, or both. */
  private List<String> some(String name, boolean from, boolean to) {
    List<String> some = new ArrayList<>();
    for (String other : names) {
      if (!other.equals(name) && from) {
        some.add(name + ">" + other);
      }
      if (!other.equals(name) && to) {
        some.add(other + ">" + name);
      }
    }
    return some;
  }

  /**
   * Cuts links from a member, to it, or both, with resets or silently; what is returned mends them.
   */
  Runnable cut(String name, boolean from, boolean to, Relay.Mode mode) {
    List<String> hurt = some(name, from, to);
    hurt.forEach(
        link -> {
          links.get(link).mode(mode);
          gossip.get(link).silent(true);
        });
    return () ->
        hurt.forEach(
            link -> {
              links.get(link).mode(Relay.Mode.PASS);
              gossip.get(link).silent(false);
            });
  }

  /** Loses, repeats and reorders a member's datagrams; what is returned ends it. */
  Runnable scramble(String name) {
    List<String> hurt = some(name, true, true);
    hurt.forEach(link -> gossip.get(link).scrambled(true));
    return () -> hurt.forEach(link -> gossip.get(link).scrambled(false));
  }

  /** Sends a member again what came to it last, and each of that with a bit turned over. */
  void forge(String name, SplittableRandom chance) {
    for (String link : some(name, false, true)) {
      byte[] last = gossip.get(link).last();
      if (last != null) {
        byte[] bad = last.clone();
        bad[chance.nextInt(bad.length)] ^= (byte) (1 << chance.nextInt(8));
        gossip.get(link).inject(last);
        gossip.get(link).inject(bad);
      }
    }
  }

  void close() {
    links.values().forEach(Relay::close);
    effects.values().forEach(Relay::close);
    gossip.values().forEach(UdpRelay::close);
    group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
  }
}
