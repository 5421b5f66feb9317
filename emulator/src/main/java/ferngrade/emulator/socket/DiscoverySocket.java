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

/** The discovery agent beside one node. */
final class DiscoverySocket {
  private static final double SIGN_OF_LIFE = 2000;

  private final SocketRun run;
  private final int node;
  private final HttpListener listener;
  private final Set<Channel> watchers = new LinkedHashSet<>();

  DiscoverySocket(SocketRun run, int node, EventLoopGroup group) {
    this.run = run;
    this.node = node;
    this.listener = new HttpListener(group, Watch::new);
  }

  HttpListener listener() {
    return listener;
  }

  void begin() {
    run.time.after(
        SIGN_OF_LIFE,
        () -> {
          if (!run.roll.silent()) {
            watchers.forEach(each -> write(each, "\n"));
          }
          begin();
        });
  }

  /** Tells the node of changes, or the whole list. */
  void tell(EndpointListUpdate news, List<Endpoint> entries, long revision) {
    watchers.forEach(each -> tell(each, news, entries, revision));
  }

  private void tell(
      Channel watcher, EndpointListUpdate news, List<Endpoint> entries, long revision) {
    double now = run.time.now();
    for (Endpoint entry : entries) {
      WorkerState state = entry.worker().state();
      if (news == EndpointListUpdate.CHANGES || state != WorkerState.READY) {
        run.observer.told(
            now, node, run.fleet.byId(entry.worker().id()), state, entry.worker().startedAt());
      }
    }
    write(
        watcher,
        NodeFile.list(run.scenario, entries, revision, news != EndpointListUpdate.CHANGES) + "\n");
  }

  private static void write(Channel watcher, String line) {
    watcher.writeAndFlush(
        new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
  }

  /** A connection of the node's: it asks to watch, and hears from then on. */
  private final class Watch extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
      if (run.roll.silent()) {
        // An agent that has heard nothing says nothing; the connection stays open.
        return;
      }
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      ctx.writeAndFlush(head);
      tell(ctx.channel(), EndpointListUpdate.WHOLE, run.roll.list(), run.roll.revision());
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
