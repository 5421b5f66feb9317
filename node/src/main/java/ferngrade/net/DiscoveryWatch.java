package ferngrade.net;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.ParseException;
import ferngrade.Dispatcher.News;
import ferngrade.config.MemberReader;
import ferngrade.config.MemberReader.MemberList;
import ferngrade.node.Log;
import ferngrade.node.Node;
import ferngrade.node.Timers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * Watches the worker list at one address: one long answer, a line for each change. A watch that breaks or falls
 * silent is opened anew from the last version seen; until then the last list stays.
 */
final class DiscoveryWatch {
    /**
     * An empty line comes every 2 s; a missing one means that the connection is dead. What discovery had to tell
     * meanwhile counts as told a few seconds later all the same: waiting for more would send jobs to workers that
     * drain.
     */
    private static final double SILENCE = 2500;
    /** The agent answers at once; a watch that does not begin to is dead too. */
    private static final double FIRST_SILENCE = 1000;
    private static final double RETRY_FIRST = 100;
    /** The agent is on the node's own machine: asking it again is cheap, and being told late is not. */
    private static final double RETRY_MOST = 500;
    private static final int CONNECT_TIMEOUT = 1000;
    /** The longest line, in bytes: a whole list of some thousand workers. */
    private static final int LONGEST_LINE = 1 << 20;

    private final InetSocketAddress discovery;
    private final MemberReader reader;
    private final Node node;
    private final Timers timers;
    private final Log log;
    private final Runnable whenListed;
    private final Bootstrap bootstrap;
    private Channel channel;
    private long revision;
    private boolean listed;
    private boolean stopped;
    private double retry = RETRY_FIRST;
    private Timers.Timer silence;

    /** A watch that calls {@code whenListed} once its address has told a whole list for the first time. */
    DiscoveryWatch(EventLoopGroup group, InetSocketAddress discovery, MemberReader reader, Node node, Timers timers,
            Log log, Runnable whenListed) {
        this.discovery = discovery;
        this.reader = reader;
        this.node = node;
        this.timers = timers;
        this.log = log;
        this.whenListed = whenListed;
        this.bootstrap = new Bootstrap().group(group).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpClientCodec(), new BodyHandler(),
                                new LineBasedFrameDecoder(LONGEST_LINE), new LineHandler());
                    }
                });
    }

    InetSocketAddress address() {
        return discovery;
    }

    boolean listed() {
        return listed;
    }

    /** Ends the watch for good: nothing that it still hears counts. */
    void stop() {
        stopped = true;
        if (channel != null) {
            channel.close();
        }
    }

    /** Opens the watch; it keeps itself open from here on. */
    void start() {
        if (stopped) {
            return;
        }
        bootstrap.connect(discovery).addListener((ChannelFuture connected) -> {
            if (stopped) {
                connected.channel().close();
            } else if (connected.isSuccess()) {
                watch(connected.channel());
            } else {
                again("cannot be reached: " + connected.cause().getMessage());
            }
        });
    }

    private void watch(Channel opened) {
        channel = opened;
        // Only a list from discovery has a version to go on from: the stored one may be of another life.
        String target = "/api/targets?watch=1" + (listed ? "&from=" + revision : "");
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
        request.headers().set(HttpHeaderNames.HOST, discovery.getHostString() + ":" + discovery.getPort());
        opened.closeFuture().addListener(ended -> {
            silence.cancel();
            again("watch ended");
        });
        listen(opened, FIRST_SILENCE);
        opened.writeAndFlush(request);
    }

    private void listen(Channel from, double patience) {
        if (silence != null) {
            silence.cancel();
        }
        silence = timers.after(patience, from::close);
    }

    private void again(String why) {
        if (stopped) {
            return;
        }
        log.line("discovery at " + discovery + ": " + why);
        node.listFailed();
        timers.after(retry, this::start);
        retry = Math.min(RETRY_MOST, 2 * retry);
    }

    private void line(String line) {
        if (stopped || line.isBlank()) {
            return;
        }
        try {
            MemberList list = reader.read(Json.parse(line));
            list.faults().forEach(fault -> log.line("discovery listed what cannot be used: " + fault));
            revision = list.revision();
            retry = RETRY_FIRST;
            if (!listed && list.complete()) {
                listed = true;
                whenListed.run();
            }
            node.members(list.complete() ? News.WHOLE : News.CHANGES, list.members());
        } catch (ParseException | IllegalArgumentException malformed) {
            log.line("discovery sent what is no list: " + malformed.getMessage());
        }
    }

    /** Passes the answer's body on as it comes. */
    private final class BodyHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            listen(ctx.channel(), SILENCE);
            if (message instanceof HttpResponse response && response.status().code() != 200) {
                ctx.close();
            }
            if (message instanceof HttpContent content) {
                ctx.fireChannelRead(content.content());
                if (content instanceof LastHttpContent) {
                    ctx.close();
                }
            } else {
                ReferenceCountUtil.release(message);
            }
        }
    }

    /** Takes the lines. */
    private final class LineHandler extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf line) {
            line(line.toString(StandardCharsets.UTF_8));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            log.line("discovery's answer cannot be read: " + cause.getMessage());
            ctx.close();
        }
    }
}
