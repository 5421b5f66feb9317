package ferngrade.fleet;

import ferngrade.codec.Codec;
import ferngrade.config.EndpointListParser;
import ferngrade.membership.MembershipUpdate;
import ferngrade.membership.Message;
import ferngrade.membership.Message.Envelope;
import ferngrade.membership.MessageAuthenticator;
import ferngrade.membership.Peer;
import ferngrade.membership.SwimProtocol;
import ferngrade.node.Clock;
import ferngrade.node.Timers;
import ferngrade.transport.OpenChannels;
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
import java.util.function.Consumer;

/**
 * Runs the gossip membership of a member: connects {@link SwimProtocol} to a UDP socket and
 * authenticates each datagram. All methods belong to the member's thread; the socket has a separate
 * thread, which passes received datagrams to the member's thread.
 */
final class Membership implements AutoCloseable {
  private static final long MAX_SHUTDOWN_MILLIS = 1_000;
  private static final long MAX_CLOSE_MILLIS = 2_000;

  private final Map<String, InetSocketAddress> gossipAddresses = new HashMap<>();
  private final Codec codec = new Codec(Message.CLASSES);
  private final Timers timers;
  private final Clock clock;
  private final Executor loop;
  private final Consumer<String> log;
  private final MessageAuthenticator authenticator;
  private final SwimProtocol swim;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final OpenChannels openChannels = new OpenChannels();
  private final Channel channel;
  private long rejected;
  private Timers.Timer timer;

  /**
   * The environment of the membership.
   *
   * @param clock the member's monotonic clock
   * @param timers run tasks later on the member's thread
   * @param loop runs tasks on the member's thread, one at a time, and handles their exceptions
   * @param log receives each log line
   * @param seed seeds the random choices and the number of this process
   */
  record Environment(Clock clock, Timers timers, Executor loop, Consumer<String> log, long seed) {}

  /**
   * Binds the gossip address of the member {@code name}; the addresses of the other members are
   * read from the file. Datagrams are received from now on.
   */
  Membership(FleetFile file, String name, Environment environment)
      throws IOException, InterruptedException {
    this.timers = environment.timers();
    this.clock = environment.clock();
    this.loop = environment.loop();
    this.log = environment.log();
    for (FleetFile.Member member : file.members()) {
      if (member.gossip() != null && !member.name().equals(name)) {
        gossipAddresses.put(member.name(), member.gossip());
      }
    }
    long processNumber = environment.seed() | 1;
    this.authenticator =
        new MessageAuthenticator(file.name() + " members", file.keys(), processNumber);
    try {
      this.channel =
          new Bootstrap()
              .group(group)
              .channel(NioDatagramChannel.class)
              .handler(new DatagramHandler())
              .bind(file.member(name).gossip())
              .sync()
              .channel();
      openChannels.add(channel);
    } catch (RuntimeException failure) {
      close();
      throw failure;
    }
    this.swim =
        new SwimProtocol(
            name,
            hostAndPort(address()),
            processNumber,
            gossipAddresses.values().stream().map(Membership::hostAndPort).toList(),
            SwimProtocol.Settings.LOCAL,
            new SplittableRandom(environment.seed()),
            new ProtocolCallbacks());
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /** The local address of the socket. */
  InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  /** Starts the protocol. */
  void start() {
    swim.start(clock.now());
    scheduleNextRun();
  }

  private void scheduleNextRun() {
    if (timer != null) {
      timer.cancel();
    }
    timer =
        timers.after(
            Math.max(0, swim.nextTaskAt() - clock.now()),
            () -> {
              swim.runDueTasks(clock.now());
              scheduleNextRun();
            });
  }

  /**
   * Returns whether a member is considered alive. A member without a gossip address is always
   * considered alive, because its failure cannot be detected.
   */
  boolean alive(String name) {
    return !gossipAddresses.containsKey(name) || swim.alive(name);
  }

  /** The other members that are known to this member through gossip. */
  Collection<Peer> peers() {
    return swim.peers();
  }

  /** The update that this member sends about itself. */
  MembershipUpdate self() {
    return swim.self();
  }

  /** The number of datagrams rejected because they were forged, of another fleet or replayed. */
  long rejected() {
    return rejected;
  }

  /** Announces to the other members that this member leaves. */
  void leave() {
    swim.leave(clock.now());
  }

  /** Closes the socket; the gossip address is free afterwards. */
  @Override
  public void close() {
    openChannels.closeAndEnd(group, MAX_SHUTDOWN_MILLIS, MAX_CLOSE_MILLIS);
  }

  /** Handles a datagram on the member's thread. */
  private void handleDatagram(InetSocketAddress from, byte[] datagram) {
    String source = hostAndPort(from);
    MessageAuthenticator.UnsealResult unsealed = authenticator.unseal(source, datagram);
    if (unsealed.answer() != null) {
      send(from, unsealed.answer());
    }
    if (unsealed.verdict() == MessageAuthenticator.Verdict.FORGED
        || unsealed.verdict() == MessageAuthenticator.Verdict.REPLAYED) {
      countRejected(from + " " + unsealed.verdict());
    } else if (unsealed.verdict() == MessageAuthenticator.Verdict.TAKEN) {
      try {
        if (codec.read(unsealed.content(), 0, unsealed.content().length)
            instanceof Envelope envelope) {
          swim.received(clock.now(), source, envelope);
          scheduleNextRun();
        }
      } catch (IOException malformed) {
        countRejected(from + " " + malformed.getMessage());
      }
    }
  }

  /**
   * Counts a rejected datagram and logs the count at each power of two, so that invalid datagrams
   * cannot flood the log.
   */
  private void countRejected(String reason) {
    if ((++rejected & rejected - 1) == 0) {
      log.accept("refused datagrams=" + rejected + ", the last of " + reason);
    }
  }

  private void send(InetSocketAddress to, byte[] datagram) {
    channel.writeAndFlush(
        new DatagramPacket(Unpooled.wrappedBuffer(datagram), to), channel.voidPromise());
  }

  private final class ProtocolCallbacks implements SwimProtocol.Callbacks {
    @Override
    public void send(String name, String address, Envelope envelope) {
      // The address in this member's file takes precedence over the address that gossip carries.
      InetSocketAddress to = name == null ? null : gossipAddresses.get(name);
      try {
        InetSocketAddress target = to != null ? to : EndpointListParser.address(address);
        Membership.this.send(
            target, authenticator.seal(hostAndPort(target), codec.write(envelope)));
      } catch (IllegalArgumentException invalid) {
        countRejected(name + ", which announces the invalid address " + address);
      }
    }

    @Override
    public void statusChanged(Peer before, Peer after) {
      log.accept(
          "seems member="
              + after.name()
              + " standing="
              + after.status().name().toLowerCase(Locale.ROOT)
              + " incarnation="
              + after.update().incarnation()
              + (after.update().by().equals(after.name()) ? "" : " by=" + after.update().by()));
    }

    @Override
    public void nameConflict(MembershipUpdate other) {
      log.accept("clash: another process with this member's name runs at " + other.address());
    }
  }

  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
      byte[] bytes = new byte[packet.content().readableBytes()];
      packet.content().readBytes(bytes);
      InetSocketAddress from = packet.sender();
      loop.execute(() -> handleDatagram(from, bytes));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      // The datagram is lost; the protocol tolerates lost datagrams.
    }
  }
}
