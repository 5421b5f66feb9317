package ferngrade.trials;

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
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;

/** One directed link between two parties, through which all that goes that way passes, and in which it can be hurt. */
final class Relay {
    /** How a link behaves. */
    enum Mode {
        /** All comes through. */
        PASS,
        /** Connections are reset, and new ones end at once. */
        CUT,
        /** Nothing comes through, nobody is told, and what was sent goes on to its end once the link passes again. */
        HOLD,
        /** Nothing comes through, nobody is told; what was sent meanwhile is lost with its connection. */
        SILENT
    }

    private final EventLoopGroup group;
    private final InetSocketAddress target;
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;
    private volatile Mode mode = Mode.PASS;
    private volatile double delay;

    Relay(EventLoopGroup group, InetSocketAddress target) throws InterruptedException {
        this.group = group;
        this.target = target;
        this.listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false).childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accepted(channel);
                    }
                }).bind(new InetSocketAddress("127.0.0.1", 0)).sync().channel();
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Changes how the link behaves from now on. */
    void mode(Mode next) {
        Mode before = mode;
        mode = next;
        if (next == Mode.CUT || before == Mode.SILENT) {
            open.close();
        }
        boolean reads = next == Mode.PASS;
        open.forEach(channel -> channel.config().setAutoRead(reads));
    }

    /** From now on each piece takes so many ms. */
    void delay(double millis) {
        delay = millis;
    }

    private void accepted(Channel from) {
        if (mode == Mode.CUT) {
            from.close();
            return;
        }
        open.add(from);
        new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.AUTO_READ, false).handler(new Pipe(from)).connect(target)
                .addListener((ChannelFuture connected) -> {
                    if (!connected.isSuccess()) {
                        from.close();
                        return;
                    }
                    Channel to = connected.channel();
                    open.add(to);
                    from.pipeline().addLast(new Pipe(to));
                    boolean reads = mode == Mode.PASS;
                    from.config().setAutoRead(reads);
                    to.config().setAutoRead(reads);
                });
    }

    /** Passes what comes on to the other end, and its end too. */
    private final class Pipe extends ChannelInboundHandlerAdapter {
        private final Channel to;

        Pipe(Channel to) {
            this.to = to;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (delay > 0) {
                ctx.executor().schedule(() -> pass(message), (long) (delay * 1000), TimeUnit.MICROSECONDS);
            } else {
                pass(message);
            }
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
            to.close();
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
