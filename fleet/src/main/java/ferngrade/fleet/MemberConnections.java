package ferngrade.fleet;

import ferngrade.membership.MessageAuthenticator;
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
 * Connections between members: one from each to each, which carries frames one way. Each frame says
 * who sends it and is sealed: what has no tag of the fleet, came before or was meant for an earlier
 * process is dropped with its connection. What cannot be sent at once is dropped; whoever sends
 * again decides what still counts.
 */
final class MemberConnections implements AutoCloseable {
  private static final int MOST_FRAME = 16 << 20;
  private static final int MOST_WAITING = 4 << 20;
  private static final int CONNECT_TIMEOUT = 1_000;
  private static final long RETRY_FIRST = 50;
  private static final long RETRY_MOST = 400;

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final byte[] member;
  private final MessageAuthenticator seal;
  private final Receiver receiver;
  private final Map<String, Out> outs = new HashMap<>();
  private Channel listener;

  /** Takes what others send, on the links' thread. */
  @FunctionalInterface
  interface Receiver {
    /** A frame of this member has come. */
    void received(String from, byte[] message);
  }

  /**
   * The links of a member; the others' addresses are known from the start. The seal becomes theirs
   * alone.
   */
  MemberConnections(
      MessageAuthenticator seal,
      String member,
      Map<String, InetSocketAddress> others,
      Receiver receiver) {
    this.seal = seal;
    this.member = member.getBytes(StandardCharsets.UTF_8);
    this.receiver = receiver;
    others.forEach((name, address) -> outs.put(name, new Out(name, address)));
  }

  /**
   * Listens, and connects to the others; returns the address, whose port was chosen if 0 was asked
   * for.
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
                    channel
                        .pipeline()
                        .addLast(
                            new LengthFieldPrepender(4),
                            new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, 4, 0, 4),
                            new In());
                  }
                })
            .bind(address)
            .sync()
            .channel();
    outs.values().forEach(Out::connect);
    return (InetSocketAddress) listener.localAddress();
  }

  /** Sends a frame to a member, or drops it; from any thread. */
  void send(String to, byte[] message) {
    Out out = outs.get(to);
    if (out != null && !group.isShuttingDown()) {
      group.execute(() -> out.send(message));
    }
  }

  /** A frame's content: who sends it, and what. */
  private byte[] content(byte[] message) {
    return ByteBuffer.allocate(1 + member.length + message.length)
        .put((byte) member.length)
        .put(member)
        .put(message)
        .array();
  }

  @Override
  public void close() {
    group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
  }

  /** A connection to another member, which comes back by itself. */
  private final class Out {
    private final String name;
    private final InetSocketAddress address;
    private Channel channel;
    private long retry = RETRY_FIRST;

    Out(String name, InetSocketAddress address) {
      this.name = name;
      this.address = address;
    }

    void send(byte[] message) {
      if (channel != null && channel.isWritable()) {
        write(channel, seal.close(name, content(message)));
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
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT)
          .option(
              ChannelOption.WRITE_BUFFER_WATER_MARK,
              new WriteBufferWaterMark(MOST_WAITING / 2, MOST_WAITING))
          .handler(
              new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel opened) {
                  opened
                      .pipeline()
                      .addLast(
                          new LengthFieldPrepender(4),
                          new LengthFieldBasedFrameDecoder(
                              4 + MessageAuthenticator.BYTES, 0, 4, 0, 4),
                          new Answers(name));
                }
              })
          .connect(address)
          .addListener(
              (ChannelFuture connected) -> {
                if (connected.isSuccess()) {
                  Channel opened = connected.channel();
                  retry = RETRY_FIRST;
                  channel = opened;
                  opened.closeFuture().addListener(closed -> again());
                } else {
                  again();
                }
              });
    }

    private void again() {
      channel = null;
      if (!group.isShuttingDown()) {
        group.schedule(this::connect, retry, TimeUnit.MILLISECONDS);
        retry = Math.min(RETRY_MOST, 2 * retry);
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
   * What the other end of a connection says: which process it is, if it was taken for another. A
   * member that ends resets its connections: that is told by their end, which opens them again.
   */
  private final class Answers extends SimpleChannelInboundHandler<ByteBuf> {
    private final String name;

    Answers(String name) {
      this.name = name;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      MessageAuthenticator.Opened opened = seal.open(name, bytes(frame));
      if (opened.answer() != null) {
        write(ctx.channel(), opened.answer());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  /** A connection from another member. */
  private final class In extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
      MessageAuthenticator.Opened opened = seal.open(null, bytes(frame));
      if (opened.answer() != null) {
        write(ctx.channel(), opened.answer());
      } else if (opened.verdict() == MessageAuthenticator.Verdict.TAKEN
          && opened.content().length > 0) {
        taken(opened.content());
      } else {
        ctx.close();
      }
    }

    private void taken(byte[] content) {
      int length = Math.min(content[0], content.length - 1);
      String from = new String(content, 1, Math.max(0, length), StandardCharsets.UTF_8);
      if (outs.containsKey(from)) {
        receiver.received(from, Arrays.copyOfRange(content, 1 + length, content.length));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
