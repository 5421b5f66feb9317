package ferngrade.emulator.socket;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.WorkerState;
import ferngrade.node.Endpoint;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Emulates the discovery agent of one node. */
final class DiscoverySocket {
  private static final double KEEPALIVE_PERIOD_MILLIS = 2000;

  private final SocketRun run;
  private final int node;
  private final HttpListener listener;
  private final Set<Channel> watchers = new LinkedHashSet<>();

  DiscoverySocket(SocketRun run, int node, EventLoopGroup group) {
    this.run = run;
    this.node = node;
    this.listener = new HttpListener(group, WatchHandler::new);
  }

  HttpListener listener() {
    return listener;
  }

  void begin() {
    run.time.after(
        KEEPALIVE_PERIOD_MILLIS,
        () -> {
          if (!run.discovery.inOutage()) {
            watchers.forEach(watcher -> write(watcher, "\n"));
          }
          begin();
        });
  }

  /** Sends an update, which holds changes or the whole list, to the node's open watches. */
  void publish(EndpointListUpdate update, List<Endpoint> entries, long revision) {
    watchers.forEach(watcher -> publish(watcher, update, entries, revision));
  }

  private void publish(
      Channel watcher, EndpointListUpdate update, List<Endpoint> entries, long revision) {
    double now = run.time.now();
    for (Endpoint entry : entries) {
      WorkerState state = entry.worker().state();
      if (update == EndpointListUpdate.CHANGES || state != WorkerState.READY) {
        run.observer.workerListed(
            now, node, run.fleet.byId(entry.worker().id()), state, entry.worker().startedAt());
      }
    }
    write(
        watcher,
        NodeFile.list(run.scenario, entries, revision, update != EndpointListUpdate.CHANGES)
            + "\n");
  }

  private static void write(Channel watcher, String line) {
    watcher.writeAndFlush(
        new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
  }

  /** Handles a connection of the node: answers its watch request with the list and then updates. */
  private final class WatchHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (run.discovery.inOutage()) {
        // During an outage the agent has no list and sends no answer; the connection stays open.
        return;
      }
      HttpResponse responseHead =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      ctx.writeAndFlush(responseHead);
      publish(
          ctx.channel(), EndpointListUpdate.WHOLE, run.discovery.list(), run.discovery.revision());
      watchers.add(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      watchers.remove(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
