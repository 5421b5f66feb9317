package ferngrade.fleet;

import ferngrade.membership.MessageAuthenticator;
import ferngrade.transport.OpenChannels;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Maintains the TCP connections between members: each member opens one to every other member and
 * sends frames on it. A frame carries the name of its sender and an authentication tag. A frame
 * without a valid tag of the fleet or a replayed frame is dropped and its connection closed. A
 * frame meant for an earlier process of this member is dropped and answered with the identity of
 * the current process. A message that cannot be sent at once is dropped; the caller decides whether
 * it is worth sending again.
 */
final class MemberConnections implements AutoCloseable {
  private static final int MAX_FRAME_BYTES = 16 << 20;
  private static final int MAX_PENDING_BYTES = 4 << 20;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final long FIRST_RETRY_MILLIS = 50;
  private static final long MAX_RETRY_MILLIS = 400;
  private static final long MAX_SHUTDOWN_MILLIS = 1_000;
  private static final long MAX_CLOSE_MILLIS = 2_000;

  private final EventLoopGroup group;
  private final OpenChannels openChannels = new OpenChannels();
  private final byte[] member;
  private final MessageAuthenticator authenticator;
  private final Receiver receiver;
  private final Map<String, OutboundConnection> outbound = new HashMap<>();
  private Channel listener;

  /** Receives the messages of other members on the connections' thread. */
  @FunctionalInterface
  interface Receiver {
    /** Handles a message of the member {@code from}. */
    void received(String from, byte[] message);
  }

  /**
   * Creates the connections of a member to {@code others}, by name. The authenticator must not be
   * used elsewhere.
   */
  MemberConnections(
      MessageAuthenticator authenticator,
      String member,
      Map<String, InetSocketAddress> others,
      Receiver receiver) {
    this(
        authenticator,
        member,
        others,
        receiver,
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
  }

  /** Creates the connections on an event loop group with one thread, which they end. */
  MemberConnections(
      MessageAuthenticator authenticator,
      String member,
      Map<String, InetSocketAddress> others,
      Receiver receiver,
      EventLoopGroup group) {
    this.group = group;
    this.authenticator = authenticator;
    this.member = member.getBytes(StandardCharsets.UTF_8);
    this.receiver = receiver;
    others.forEach((name, address) -> outbound.put(name, new OutboundConnection(name, address)));
  }

  /**
   * Binds the address and connects to the other members. Returns the local address, which has a
   * free port if port 0 was given.
   */
  InetSocketAddress start(InetSocketAddress address) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    openChannels.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new LengthFieldPrepender(4),
                            new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, 4, 0, 4),
                            new InboundHandler());
                  }
                })
            .bind(address)
            .sync()
            .channel();
    openChannels.add(listener);
    outbound.values().forEach(OutboundConnection::connect);
    return (InetSocketAddress) listener.localAddress();
  }

  /**
   * Sends a message to a member, or drops it if the connection is down or congested. Any thread.
   */
  void send(String to, byte[] message) {
    OutboundConnection connection = outbound.get(to);
    if (connection != null && !group.isShuttingDown()) {
      group.execute(() -> connection.send(message));
    }
  }

  /** Returns the content of a frame: the sender's name with its length, then the message. */
  private byte[] content(byte[] message) {
    return ByteBuffer.allocate(1 + member.length + message.length)
        .put((byte) member.length)
        .put(member)
        .put(message)
        .array();
  }

  /** Closes all connections; the address that {@link #start} has bound is free afterwards. */
  @Override
  public void close() {
    openChannels.closeAndEnd(group, MAX_SHUTDOWN_MILLIS, MAX_CLOSE_MILLIS);
  }

  /** A connection to another member; reconnects with backoff when it closes. */
  private final class OutboundConnection {
    private final String name;
    private final InetSocketAddress address;
    private Channel channel;
    private long retryMillis = FIRST_RETRY_MILLIS;

    OutboundConnection(String name, InetSocketAddress address) {
      this.name = name;
      this.address = address;
    }

    void send(byte[] message) {
      if (channel != null && channel.isWritable()) {
        write(channel, authenticator.seal(name, content(message)));
      }
    }

    void connect() {
      if (group.isShuttingDown()) {
        return;
      }
      new Bootstrap()
          .group(group)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
          .option(
              ChannelOption.WRITE_BUFFER_WATER_MARK,
              new WriteBufferWaterMark(MAX_PENDING_BYTES / 2, MAX_PENDING_BYTES))
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel opened) {
                  openChannels.add(opened);
                  opened
                      .pipeline()
                      .addLast(
                          new LengthFieldPrepender(4),
                          new LengthFieldBasedFrameDecoder(
                              4 + MessageAuthenticator.OVERHEAD_BYTES, 0, 4, 0, 4),
                          new ReplyHandler(name));
                }
              })
          .connect(address)
          .addListener(
              (ChannelFuture connected) -> {
                if (connected.isSuccess()) {
                  Channel opened = connected.channel();
                  retryMillis = FIRST_RETRY_MILLIS;
                  channel = opened;
                  opened.closeFuture().addListener(closed -> reconnectLater());
                } else {
                  reconnectLater();
                }
              });
    }

    private void reconnectLater() {
      channel = null;
      if (!group.isShuttingDown()) {
        group.schedule(this::connect, retryMillis, TimeUnit.MILLISECONDS);
        retryMillis = Math.min(MAX_RETRY_MILLIS, 2 * retryMillis);
      }
    }
  }

  private static void write(Channel channel, byte[] frame) {
    channel.writeAndFlush(Unpooled.wrappedBuffer(frame), channel.voidPromise());
  }

  private static byte[] bytes(ByteBuf frame) {
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    return bytes;
  }

  /**
   * Handles the replies on an outbound connection: if a frame was meant for an earlier process of
   * the other member, that member replies with the identity of its current process. Exceptions are
   * not reported, because a member that ends resets its connections; the close listener then
   * reconnects.
   */
  private final class ReplyHandler extends SimpleChannelInboundHandler<ByteBuf> {
    private final String name;

    ReplyHandler(String name) {
      this.name = name;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      MessageAuthenticator.UnsealResult unsealed = authenticator.unseal(name, bytes(frame));
      if (unsealed.answer() != null) {
        write(ctx.channel(), unsealed.answer());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** Handles the frames on a connection opened by another member. */
  private final class InboundHandler extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      MessageAuthenticator.UnsealResult unsealed = authenticator.unseal(null, bytes(frame));
      if (unsealed.answer() != null) {
        write(ctx.channel(), unsealed.answer());
      } else if (unsealed.verdict() == MessageAuthenticator.Verdict.TAKEN
          && unsealed.content().length > 0) {
        deliver(unsealed.content());
      } else {
        ctx.close();
      }
    }

    private void deliver(byte[] content) {
      int length = Math.min(content[0], content.length - 1);
      String from = new String(content, 1, Math.max(0, length), StandardCharsets.UTF_8);
      if (outbound.containsKey(from)) {
        receiver.received(from, Arrays.copyOfRange(content, 1 + length, content.length));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
