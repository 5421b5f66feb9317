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
 * The simulated network. Each directed link between two members has a relay for connections and a
 * relay for datagrams. Each link from a member to the job receiver has a relay for connections.
 */
final class Network {
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<String> names;
  private final Map<String, Relay> links = new HashMap<>();
  private final Map<String, UdpRelay> gossip = new HashMap<>();
  private final Map<String, Relay> effects = new HashMap<>();

  /**
   * Creates links between these members. When a link begins to hold back a job on its way to the
   * receiver, the history records it.
   */
  Network(
      List<String> names, InetSocketAddress jobReceiver, History history, SplittableRandom random)
      throws InterruptedException {
    this.names = names;
    for (String name : names) {
      Relay effect = new Relay(group, () -> history.add(name, "held", Map.of()));
      effect.setTarget(jobReceiver);
      effects.put(name, effect);
      for (String other : names) {
        if (!other.equals(name)) {
          links.put(name + ">" + other, new Relay(group, () -> {}));
          gossip.put(name + ">" + other, new UdpRelay(group, random.nextLong()));
        }
      }
    }
  }

  /**
   * Sets the addresses of a member; {@code datagrams} is null if the member receives no datagrams.
   */
  void setAddress(String name, InetSocketAddress address, InetSocketAddress datagrams) {
    for (String other : names) {
      if (!other.equals(name)) {
        links.get(other + ">" + name).setTarget(address);
        gossip.get(other + ">" + name).setTarget(datagrams);
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

  /** Returns the names of the links from a member, to the member, or both. */
  private List<String> linksOf(String name, boolean from, boolean to) {
    List<String> selected = new ArrayList<>();
    for (String other : names) {
      if (!other.equals(name) && from) {
        selected.add(name + ">" + other);
      }
      if (!other.equals(name) && to) {
        selected.add(other + ">" + name);
      }
    }
    return selected;
  }

  /**
   * Cuts the links from a member, the links to the member, or both. The mode selects whether
   * connections are reset or data is silently dropped. The returned task restores the links.
   */
  Runnable cut(String name, boolean from, boolean to, Relay.Mode mode) {
    List<String> affected = linksOf(name, from, to);
    affected.forEach(
        link -> {
          links.get(link).setMode(mode);
          gossip.get(link).setSilent(true);
        });
    return () ->
        affected.forEach(
            link -> {
              links.get(link).setMode(Relay.Mode.PASS);
              gossip.get(link).setSilent(false);
            });
  }

  /** Drops, duplicates and reorders a member's datagrams; the returned task ends this fault. */
  Runnable scramble(String name) {
    List<String> affected = linksOf(name, true, true);
    affected.forEach(link -> gossip.get(link).setScrambled(true));
    return () -> affected.forEach(link -> gossip.get(link).setScrambled(false));
  }

  /**
   * Sends the last datagram of each link to a member again, both unchanged and with one bit
   * flipped.
   */
  void forge(String name, SplittableRandom random) {
    for (String link : linksOf(name, false, true)) {
      byte[] lastDatagram = gossip.get(link).lastDatagram();
      if (lastDatagram != null) {
        byte[] forged = lastDatagram.clone();
        forged[random.nextInt(forged.length)] ^= (byte) (1 << random.nextInt(8));
        gossip.get(link).inject(lastDatagram);
        gossip.get(link).inject(forged);
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
