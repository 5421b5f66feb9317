package ferngrade.net;

import ferngrade.node.Clock;
import ferngrade.node.Log;
import ferngrade.node.Node;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The address where clients bring jobs and workers call back. It owns the count of connections: at the bound
 * the one idle for longest makes room, and where none is idle no more are accepted for the moment.
 */
final class Front {
    /** The largest body, in bytes. */
    static final int MOST_BODY = 64 << 10;
    private static final int BACKLOG = 1024;

    private final int mostConnections;
    private final Set<FrontHandler> open = new LinkedHashSet<>();
    private final Set<FrontHandler> idle = new LinkedHashSet<>();
    private Channel listener;
    private boolean draining;
    private Runnable whenDone;
    private int jobs;

    Front(int mostConnections) {
        this.mostConnections = mostConnections;
    }

    /** Begins to listen. */
    ChannelFuture listen(EventLoopGroup group, InetSocketAddress address, Node node, RequestReader reader, Clock clock,
            Log log) {
        ChannelFuture bound = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG).option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new HttpObjectAggregator(MOST_BODY),
                                new FrontHandler(Front.this, node, reader, clock, log));
                    }
                }).bind(address);
        listener = bound.channel();
        return bound;
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    boolean draining() {
        return draining;
    }

    /** From here on every answer ends its connection; new ones are still accepted. */
    void drain() {
        draining = true;
    }

    /**
     * Takes no more jobs, ends what is idle, and calls {@code done} when every job has its answer. Till then
     * it listens: the workers' call-backs, which those answers wait for, come on connections of their own.
     */
    void finish(Runnable done) {
        whenDone = done;
        new ArrayList<>(idle).forEach(FrontHandler::close);
        checkDone();
    }

    /** True from {@link #finish} on: a job that comes now is refused. */
    boolean finishing() {
        return whenDone != null;
    }

    /** A job has been taken from a client. */
    void took() {
        jobs++;
    }

    /** A job's answer has been written, or its client has gone. */
    void gave() {
        jobs--;
        checkDone();
    }

    void opened(FrontHandler connection) {
        open.add(connection);
        idle.add(connection);
        makeRoom();
    }

    void busy(FrontHandler connection) {
        idle.remove(connection);
        makeRoom();
    }

    void idle(FrontHandler connection) {
        if (whenDone != null) {
            connection.close();
        } else if (open.contains(connection)) {
            idle.add(connection);
        }
    }

    void closed(FrontHandler connection) {
        open.remove(connection);
        idle.remove(connection);
        makeRoom();
    }

    private void makeRoom() {
        if (open.size() >= mostConnections && idle.size() > 1) {
            idle.iterator().next().close();
        }
        listener.config().setAutoRead(open.size() < mostConnections);
    }

    private void checkDone() {
        if (whenDone != null && jobs == 0) {
            listener.close();
            whenDone.run();
        }
    }
}
