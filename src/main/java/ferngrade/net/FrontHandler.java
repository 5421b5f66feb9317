package ferngrade.net;

import ferngrade.Dispatcher.Job;
import ferngrade.node.Clock;
import ferngrade.node.Log;
import ferngrade.node.Node;
import ferngrade.node.Reply;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Locale;

/** One connection to the front: a client's, or a worker's with call-backs. One request at a time. */
final class FrontHandler extends ChannelInboundHandlerAdapter {
    /** Requests that may wait on a connection behind the one in work; more end the connection. */
    private static final int MOST_WAITING = 16;

    private final Front front;
    private final Node node;
    private final RequestReader reader;
    private final Clock clock;
    private final Log log;
    private final Deque<FullHttpRequest> waiting = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private boolean busy;
    private boolean keepAlive;
    private String taken;

    FrontHandler(Front front, Node node, RequestReader reader, Clock clock, Log log) {
        this.front = front;
        this.node = node;
        this.reader = reader;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        front.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (!(message instanceof FullHttpRequest request)) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (!busy) {
            begin(request);
        } else if (waiting.size() < MOST_WAITING) {
            waiting.add(request);
        } else {
            request.release();
            ctx.close();
        }
    }

    private void begin(FullHttpRequest request) {
        busy = true;
        front.busy(this);
        try {
            handle(request);
        } catch (BadRequestException bad) {
            log.line("bad request from " + context.channel().remoteAddress() + ": " + bad.getMessage());
            answer(HttpResponseStatus.BAD_REQUEST, bad.getMessage());
        } finally {
            request.release();
        }
    }

    private void handle(FullHttpRequest request) throws BadRequestException {
        keepAlive = HttpUtil.isKeepAlive(request) && !request.decoderResult().isFailure();
        if (request.decoderResult().isFailure()) {
            throw new BadRequestException("not a request in HTTP");
        }
        String path = new QueryStringDecoder(request.uri()).rawPath();
        if (path.equals("/-/ready")) {
            boolean ready = node.ready() && !front.draining();
            answer(ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
        } else if (!request.method().equals(HttpMethod.POST)) {
            answer(HttpResponseStatus.METHOD_NOT_ALLOWED, "jobs come by POST");
        } else if (path.equals("/_jobs/news")) {
            node.news(NewsReader.read(request.content().toString(StandardCharsets.UTF_8)));
            answer(HttpResponseStatus.NO_CONTENT, "");
        } else {
            job(request);
        }
    }

    private void job(FullHttpRequest request) throws BadRequestException {
        Job job = reader.job(request.headers(), clock.now());
        if (front.finishing()) {
            new HttpReply().refused(0);
            return;
        }
        front.took();
        taken = job.id();
        if (!node.request(job, RequestReader.call(request, job.id()), new HttpReply())) {
            taken = null;
            front.gave();
            throw new BadRequestException("Req-Id has been used");
        }
    }

    private void answer(HttpResponseStatus status, String body) {
        ByteBuf content = Unpooled.copiedBuffer(body, StandardCharsets.UTF_8);
        respond(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content));
    }

    private void respond(FullHttpResponse response) {
        boolean wasJob = taken != null;
        taken = null;
        boolean keep = keepAlive && !front.draining();
        if (!response.status().equals(HttpResponseStatus.NO_CONTENT)) {
            HttpUtil.setContentLength(response, response.content().readableBytes());
        }
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
        }
        context.writeAndFlush(response).addListener(future -> {
            if (wasJob) {
                front.gave();
            }
            finished(keep && future.isSuccess());
        });
    }

    private void finished(boolean keep) {
        busy = false;
        if (!keep) {
            context.close();
        } else if (waiting.isEmpty()) {
            front.idle(this);
        } else {
            begin(waiting.poll());
        }
    }

    /** Ends a connection that has nothing in work. */
    void close() {
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        front.closed(this);
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        if (taken != null) {
            node.clientGone(taken);
            taken = null;
            front.gave();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }

    /** The way back over this connection. */
    private final class HttpReply implements Reply {
        @Override
        public void served(String result) {
            answer(HttpResponseStatus.OK, result);
        }

        @Override
        public void refused(double retryAfter) {
            FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                    HttpResponseStatus.SERVICE_UNAVAILABLE, Unpooled.EMPTY_BUFFER);
            if (retryAfter > 0) {
                response.headers().set(HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", retryAfter / 1000));
            }
            respond(response);
        }

        @Override
        public void failed() {
            answer(HttpResponseStatus.BAD_GATEWAY, "");
        }
    }
}
