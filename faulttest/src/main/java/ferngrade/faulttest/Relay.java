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
 * One directed link between two parties, through which all that goes that way passes, and in which
 * it can be hurt.
 */
final class Relay {
  /** How a link behaves. */
  enum Mode {
    /** All comes through. */
    PASS,
    /** Connections are reset, and new ones end at once. */
    CUT,
    /**
     * What goes this way waits, nobody is told, and goes on to its end once the link passes again;
     * answers pass.
     */
    HOLD,
    /**
     * Nothing comes through, nobody is told; what was sent meanwhile is lost with its connection.
     */
    SILENT
  }

  private final EventLoopGroup group;
  private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final Channel listener;
  private final Runnable held;

  /** What waits until the link passes again; belongs to the group's one thread. */
  private final List<Runnable> waiting = new ArrayList<>();

  private volatile Mode mode = Mode.PASS;
  private volatile InetSocketAddress target;
  private volatile double delay;

  /**
   * A link that leads nowhere yet; {@code held} runs each time when something begins to wait in it.
   */
  Relay(EventLoopGroup group, Runnable held) throws InterruptedException {
    this.group = group;
    this.held = held;
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

  /** New connections lead there from now on. */
  void to(InetSocketAddress address) {
    target = address;
  }

  /** Changes how the link behaves from now on. */
  void mode(Mode next) {
    Mode before = mode;
    mode = next;
    if (next == Mode.CUT || before == Mode.SILENT) {
      open.close();
    }
    boolean reads = next != Mode.SILENT;
    open.forEach(channel -> channel.config().setAutoRead(reads));
    if (next == Mode.PASS) {
      group.execute(
          () -> {
            List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
          });
    }
  }

  /** From now on each piece takes so many ms. */
  void delay(double millis) {
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
              boolean reads = mode != Mode.SILENT;
              from.config().setAutoRead(reads);
              to.config().setAutoRead(reads);
            });
  }

  /** Passes what comes on to the other end, and its end too. */
  private final class Pipe extends ChannelInboundHandlerAdapter {
    private final Channel to;
    private final boolean forth;

    Pipe(Channel to, boolean forth) {
      this.to = to;
      this.forth = forth;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
      if (forth && waits()) {
        waiting.add(() -> pass(message));
        held.run();
      } else if (delay > 0) {
        ctx.executor().schedule(() -> pass(message), (long) (delay * 1000), TimeUnit.MICROSECONDS);
      } else {
        pass(message);
      }
    }

    /** Also once the link passes again, until what waits has gone on: nothing overtakes it. */
    private boolean waits() {
      return mode == Mode.HOLD || !waiting.isEmpty();
    }

    private void pass(Object message) {
      if (to.isActive()) {
        to.writeAndFlush(message, to.voidPromise());
      } else {
        ReferenceCountUtil.release(message);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      if (forth && waits()) {
        waiting.add(to::close);
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
