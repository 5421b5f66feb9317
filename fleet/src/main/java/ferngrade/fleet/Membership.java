package ferngrade.fleet;

import ferngrade.codec.Codec;
import ferngrade.config.EndpointListParser;
import ferngrade.membership.MembershipUpdate;
import ferngrade.membership.Message;
import ferngrade.membership.Message.Letter;
import ferngrade.membership.MessageAuthenticator;
import ferngrade.membership.Peer;
import ferngrade.membership.SwimProtocol;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Who of the fleet seems to live: {@link SwimProtocol} on datagrams, each sealed. All but the
 * socket belongs to the member's thread; whoever asks from another is told through that.
 */
final class Membership implements AutoCloseable {
  private final Map<String, InetSocketAddress> others = new HashMap<>();
  private final Codec codec = new Codec(Message.CLASSES);
  private final Timers timers;
  private final Clock clock;
  private final Executor loop;
  private final Consumer<String> log;
  private final MessageAuthenticator seal;
  private final SwimProtocol swim;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Channel channel;
  private long refused;
  private Timers.Timer timer;

  /** What it is made from; the loop runs what it is given one after another, faults included. */
  record Surroundings(Clock clock, Timers timers, Executor loop, Consumer<String> log, long seed) {}

  /**
   * The membership of this member, whose file says where the others are; it listens from here on.
   */
  Membership(FleetFile file, String name, Surroundings around)
      throws IOException, InterruptedException {
    this.timers = around.timers();
    this.clock = around.clock();
    this.loop = around.loop();
    this.log = around.log();
    for (FleetFile.Member each : file.members()) {
      if (each.gossip() != null && !each.name().equals(name)) {
        others.put(each.name(), each.gossip());
      }
    }
    long run = around.seed() | 1;
    this.seal = new MessageAuthenticator(file.name() + " members", file.keys(), run);
    try {
      this.channel =
          new Bootstrap()
              .group(group)
              .channel(NioDatagramChannel.class)
              .handler(new In())
              .bind(file.member(name).gossip())
              .sync()
              .channel();
    } catch (RuntimeException cannot) {
      close();
      throw cannot;
    }
    this.swim =
        new SwimProtocol(
            name,
            text(address()),
            run,
            others.values().stream().map(Membership::text).toList(),
            SwimProtocol.Terms.LOCAL,
            new SplittableRandom(around.seed()),
            new Out());
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /** Where it listens. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Takes part from here on; on the member's thread. */
  void start() {
    swim.start(clock.now());
    wake();
  }

  private void wake() {
    if (timer != null) {
      timer.cancel();
    }
    timer =
        timers.after(
            Math.max(0, swim.next() - clock.now()),
            () -> {
              swim.run(clock.now());
              wake();
            });
  }

  /**
   * Whether a member seems to live; one of whose membership nothing is known does, as far as this
   * can tell.
   */
  boolean alive(String name) {
    return !others.containsKey(name) || swim.alive(name);
  }

  /** All others that were heard of. */
  Collection<Peer> peers() {
    return swim.peers();
  }

  /** What this member says of itself. */
  MembershipUpdate self() {
    return swim.self();
  }

  /** Datagrams that were refused: forged, of another fleet, sent again. */
  long refused() {
    return refused;
  }

  /** Says good-bye. */
  void leave() {
    swim.leave(clock.now());
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
  }

  /** A datagram has come; on the member's thread. */
  private void come(InetSocketAddress from, byte[] datagram) {
    String end = text(from);
    MessageAuthenticator.Opened opened = seal.open(end, datagram);
    if (opened.answer() != null) {
      send(from, opened.answer());
    }
    if (opened.verdict() == MessageAuthenticator.Verdict.FORGED
        || opened.verdict() == MessageAuthenticator.Verdict.REPLAYED) {
      refuse(from + " " + opened.verdict());
    } else if (opened.verdict() == MessageAuthenticator.Verdict.TAKEN) {
      try {
        if (codec.read(opened.content(), 0, opened.content().length) instanceof Letter letter) {
          swim.received(clock.now(), end, letter);
          wake();
        }
      } catch (IOException malformed) {
        refuse(from + " " + malformed.getMessage());
      }
    }
  }

  /** Said seldom: whoever sends rubbish must not fill the log. */
  private void refuse(String why) {
    if ((++refused & refused - 1) == 0) {
      log.accept("refused datagrams=" + refused + ", the last of " + why);
    }
  }

  private void send(InetSocketAddress to, byte[] datagram) {
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), channel.voidPromise());
  }

  private final class Out implements SwimProtocol.Out {
    @Override
    public void send(String name, String address, Letter letter) {
      // Where the file says how a member is reached from here, that counts, not what others call it
      // by.
      InetSocketAddress to = name == null ? null : others.get(name);
      try {
        InetSocketAddress end = to != null ? to : EndpointListParser.address(address);
        Membership.this.send(end, seal.close(text(end), codec.write(letter)));
      } catch (IllegalArgumentException noAddress) {
        refuse(name + ", who says that its address is " + address);
      }
    }

    @Override
    public void changed(Peer before, Peer after) {
      log.accept(
          "seems member="
              + after.name()
              + " standing="
              + after.standing().name().toLowerCase(Locale.ROOT)
              + " incarnation="
              + after.news().incarnation()
              + (after.news().by().equals(after.name()) ? "" : " by=" + after.news().by()));
    }

    @Override
    public void clash(MembershipUpdate other) {
      log.accept("clash: another process of this member's name runs at " + other.address());
    }
  }

  private final class In extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      InetSocketAddress from = packet.sender();
      loop.execute(() -> come(from, bytes));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // A datagram that nobody takes is lost, as others are.
    }
  }
}
