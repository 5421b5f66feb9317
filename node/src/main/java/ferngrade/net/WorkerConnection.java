package ferngrade.net;

import ferngrade.net.WorkerClient.Transfer;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.net.InetSocketAddress;

/** One connection to a worker: at most one transfer at a time, idle in the pool between them. */
final class WorkerConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final ConnectionPool pool;
    private ChannelHandlerContext context;
    private InetSocketAddress worker;
    private Transfer transfer;
    /** When the connection was put back into the pool. */
    double idleSince;
    /** How long it stood idle before its present transfer, ms; negative if that is its first. */
    double reusedAfter = -1;
    private boolean endedHere;

    WorkerConnection(ConnectionPool pool) {
        this.pool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    /** The connection is up; it counts in the pool until it ends. */
    void opened(InetSocketAddress address) {
        worker = address;
        context.channel().closeFuture().addListener(closed -> ended());
    }

    InetSocketAddress worker() {
        return worker;
    }

    boolean isActive() {
        return context.channel().isActive();
    }

    void begin(Transfer next) {
        FullHttpRequest request = next.request();
        if (request == null) {
            pool.release(this);
            return;
        }
        transfer = next;
        next.carriedBy(this);
        context.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess() && transfer == next) {
                next.written();
            } else if (!written.isSuccess()) {
                close();
            }
        });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        Transfer answered = transfer;
        transfer = null;
        if (answered == null || response.decoderResult().isFailure()) {
            transfer = answered;
            close();
            return;
        }
        boolean keep = HttpUtil.isKeepAlive(response);
        answered.answered(response);
        if (keep) {
            pool.release(this);
        } else {
            close();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** Ends the connection from this side. */
    void close() {
        endedHere = true;
        context.close();
    }

    boolean endedHere() {
        return endedHere;
    }

    private void ended() {
        pool.ended(this);
        Transfer broken = transfer;
        transfer = null;
        if (broken != null) {
            broken.broken();
        }
    }
}
