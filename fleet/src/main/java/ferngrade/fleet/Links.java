package ferngrade.fleet;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Connections between members: one from each to each, which carries frames one way. The first frame says who sends, and
 * of which fleet. What cannot be sent at once is dropped; whoever sends again decides what still counts.
 */
final class Links implements AutoCloseable {
    private static final int MOST_FRAME = 16 << 20;
    private static final int MOST_WAITING = 4 << 20;
    private static final int CONNECT_TIMEOUT = 1_000;
    private static final long RETRY_FIRST = 50;
    private static final long RETRY_MOST = 400;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final String hello;
    private final String fleet;
    private final Receiver receiver;
    private final Map<String, Out> outs = new HashMap<>();
    private Channel listener;

    /** Takes what others send, on the links' thread. */
    @FunctionalInterface
    interface Receiver {
        /** A frame of this member has come. */
        void received(String from, byte[] message);
    }

    /** The links of a member; the others' addresses are known from the start. */
    Links(String fleet, String member, Map<String, InetSocketAddress> others, Receiver receiver) {
        this.fleet = fleet;
        this.hello = fleet + "/" + member;
        this.receiver = receiver;
        others.forEach((name, address) -> outs.put(name, new Out(address)));
    }

    /** Listens, and connects to the others; returns the address, whose port was chosen if 0 was asked for. */
    InetSocketAddress start(InetSocketAddress address) throws InterruptedException {
        listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true).childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new LengthFieldBasedFrameDecoder(MOST_FRAME, 0, 4, 0, 4), new In());
                    }
                }).bind(address).sync().channel();
        outs.values().forEach(Out::connect);
        return (InetSocketAddress) listener.localAddress();
    }

    /** Sends a frame to a member, or drops it; from any thread. */
    void send(String to, byte[] message) {
        Out out = outs.get(to);
        Channel channel = out == null ? null : out.channel;
        if (channel != null && channel.isWritable()) {
            channel.writeAndFlush(Unpooled.wrappedBuffer(message), channel.voidPromise());
        }
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1_000, TimeUnit.MILLISECONDS).awaitUninterruptibly(2_000);
    }

    /** A connection to another member, which comes back by itself. */
    private final class Out {
        private final InetSocketAddress address;
        private volatile Channel channel;
        private long retry = RETRY_FIRST;

        Out(InetSocketAddress address) {
            this.address = address;
        }

        void connect() {
            if (group.isShuttingDown()) {
                return;
            }
            new Bootstrap().group(group).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT)
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(MOST_WAITING / 2,
                            MOST_WAITING))
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel opened) {
                            opened.pipeline().addLast(new LengthFieldPrepender(4), new Ended());
                        }
                    }).connect(address).addListener((ChannelFuture connected) -> {
                        if (connected.isSuccess()) {
                            Channel opened = connected.channel();
                            opened.writeAndFlush(Unpooled.copiedBuffer(hello, StandardCharsets.UTF_8));
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

    /** A member that ends resets its connections: that is told by their end, which opens them again. */
    private static final class Ended extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /** A connection from another member. */
    private final class In extends SimpleChannelInboundHandler<ByteBuf> {
        private String from;

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf frame) {
            byte[] bytes = new byte[frame.readableBytes()];
            frame.readBytes(bytes);
            if (from != null) {
                receiver.received(from, bytes);
                return;
            }
            String said = new String(bytes, StandardCharsets.UTF_8);
            int slash = said.lastIndexOf('/');
            String name = said.substring(slash + 1);
            if (slash < 0 || !said.substring(0, slash).equals(fleet) || !outs.containsKey(name)) {
                ctx.close();
                return;
            }
            from = name;
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
