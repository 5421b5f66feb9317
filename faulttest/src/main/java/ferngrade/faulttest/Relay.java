package ferngrade.faulttest;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A directed link between two parties: relays all connections in that direction, and can inject
 * faults.
 */
final class Relay {
  /** How a link behaves. */
  enum Mode {
    /** All data is forwarded. */
    PASS,
    /** Open connections are reset, and new connections are closed immediately. */
    CUT,
    /**
     * Data in the link's direction is held back, and neither side is notified. It is forwarded once
     * the mode is {@link #PASS} again. Answers are forwarded at once.
     */
    HOLD,
    /**
     * Nothing is forwarded, and neither side is notified. When this mode ends, all open connections
     * are closed, and the data sent meanwhile is lost.
     */
    SILENT
  }

  private final EventLoopGroup group;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;
  private final Runnable onHold;

  /**
   * Data that is held back until the mode is {@link Mode#PASS} again; accessed by the group's
   * single thread.
   */
  private final List<Runnable> heldBack = new ArrayList<>();

  private volatile Mode mode = Mode.PASS;
  private volatile InetSocketAddress target;
  private volatile double delay;

  /** Creates a link without a target; {@code onHold} runs each time data begins to be held back. */
  Relay(EventLoopGroup group, Runnable onHold) throws InterruptedException {
    this.group = group;
    this.onHold = onHold;
    this.listener =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    accepted(channel);
                  }
                })
            .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
            .sync()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Connects new connections to this address from now on. */
  void setTarget(InetSocketAddress address) {
    target = address;
  }

  /** Changes the mode. */
  void setMode(Mode next) {
    Mode before = mode;
    mode = next;
    if (next == Mode.CUT || before == Mode.SILENT) {
      open.close();
    }
    boolean autoRead = next != Mode.SILENT;
    open.forEach(channel -> channel.config().setAutoRead(autoRead));
    if (next == Mode.PASS) {
      group.execute(
          () -> {
            List<Runnable> tasks = List.copyOf(heldBack);
            heldBack.clear();
            tasks.forEach(Runnable::run);
          });
    }
  }

  /** Delays each chunk of data by this time from now on. */
  void setDelay(double millis) {
    delay = millis;
  }

  private void accepted(Channel from) {
    InetSocketAddress address = target;
    if (mode == Mode.CUT || address == null) {
      from.close();
      return;
    }
    open.add(from);
    new Bootstrap()
        .group(group)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(new Pipe(from, false))
        .connect(address)
        .addListener(
            (ChannelFuture connected) -> {
              if (!connected.isSuccess()) {
                from.close();
                return;
              }
              Channel to = connected.channel();
              open.add(to);
              from.pipeline().addLast(new Pipe(to, true));
              boolean autoRead = mode != Mode.SILENT;
              from.config().setAutoRead(autoRead);
              to.config().setAutoRead(autoRead);
            });
  }

  /** Forwards data, and the close of the connection, to the other end. */
  private final class Pipe extends ChannelInboundHandlerAdapter {
    private final Channel to;
    private final boolean forward;

    Pipe(Channel to, boolean forward) {
      this.to = to;
      this.forward = forward;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (forward && mustHoldBack()) {
        heldBack.add(() -> write(message));
        onHold.run();
      } else if (delay > 0) {
        ctx.executor().schedule(() -> write(message), (long) (delay * 1000), TimeUnit.MICROSECONDS);
      } else {
        write(message);
      }
    }

    /**
     * Returns whether data must be held back. To keep the order, this is also the case in {@link
     * Mode#PASS} until all data that was held back has been forwarded.
     */
    private boolean mustHoldBack() {
      return mode == Mode.HOLD || !heldBack.isEmpty();
    }

    private void write(Object message) {
      if (to.isActive()) {
        to.writeAndFlush(message, to.voidPromise());
      } else {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (forward && mustHoldBack()) {
        heldBack.add(to::close);
      } else {
        to.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }

  void close() {
    listener.close();
    open.close();
  }
}
