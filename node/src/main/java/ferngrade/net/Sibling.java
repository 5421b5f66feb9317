package ferngrade.net;

import ferngrade.net.ChannelProvider.Purpose;
import ferngrade.node.Log;
import ferngrade.node.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.IntConsumer;

/**
 * The other process of this node while an upgrade runs both on one clients' socket. Workers' call-backs come to
 * that socket, so either process may get one for a job of the other; such a call-back is handed to the other
 * process at its operators' address. Each learns of the other: the later one reads the earlier one's address from
 * the shared folder and tells it its own.
 */
final class Sibling {
    /** How long a hand-over may take, ms: the worker waits for its answer meanwhile. */
    private static final double PATIENCE = 500;

    private final EventLoopGroup group;
    private final Timers timers;
    private final Log log;
    private final ChannelProvider channels;
    private InetSocketAddress address;

    Sibling(EventLoopGroup group, Timers timers, Log log, InetSocketAddress address,
            ChannelProvider channels) {
        this.channels = channels;
        this.group = group;
        this.timers = timers;
        this.log = log;
        this.address = address;
    }

    /** The other process's operators' address, or null where none is known. */
    InetSocketAddress address() {
        return address;
    }

    /** The other process has said where it is. */
    void at(InetSocketAddress other) {
        if (!other.equals(address)) {
            log.line("another process of this node is at " + other);
        }
        address = other;
    }

    /** Tells the other process where this one takes calls. */
    void announce(InetSocketAddress own) {
        if (address != null) {
            call("/-/sibling", own.getHostString() + ":" + own.getPort(), status -> { });
        }
    }

    /** Hands a call-back on; {@code status} gets the other's answer, or -1 where it could not be had. */
    void relay(String news, IntConsumer status) {
        if (address == null) {
            status.accept(-1);
            return;
        }
        call("/-/news", news, status);
    }

    private void call(String path, String body, IntConsumer status) {
        int[] once = {0};
        IntConsumer answer = code -> {
            if (once[0]++ == 0) {
                status.accept(code);
            }
        };
        ChannelFuture connected = new Bootstrap().group(group)
                .channelFactory(() -> channels.connection(Purpose.HANDOVER))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) PATIENCE)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(Admin.MOST_CALL),
                                new SimpleChannelInboundHandler<FullHttpResponse>() {
                                    @Override
                                    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse got) {
                                        answer.accept(got.status().code());
                                        ctx.close();
                                    }

                                    @Override
                                    public void channelInactive(ChannelHandlerContext ctx) {
                                        answer.accept(-1);
                                    }

                                    @Override
                                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                                        ctx.close();
                                    }
                                });
                    }
                }).connect(address);
        Channel channel = connected.channel();
        connected.addListener(done -> {
            if (!done.isSuccess()) {
                answer.accept(-1);
                return;
            }
            FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path,
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            HttpUtil.setContentLength(request, request.content().readableBytes());
            request.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            channel.writeAndFlush(request);
        });
        timers.after(PATIENCE, () -> {
            answer.accept(-1);
            channel.close();
        });
    }
}
