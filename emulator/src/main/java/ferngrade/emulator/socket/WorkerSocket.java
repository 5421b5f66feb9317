package ferngrade.emulator.socket;

import com.eclipsesource.json.JsonObject;
import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.emulator.EmulatedWorker;
import ferngrade.emulator.Network;
import ferngrade.emulator.Request;
import ferngrade.emulator.WorkerModel;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;

/** A connection to an emulated worker: the platform's protocol in front of the model. */
final class WorkerSocket extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int CALLBACK_TRIES = 10;
  private static final double CALLBACK_AGAIN = 500;

  private final SocketRun run;
  private final EmulatedWorker worker;

  /** What this connection carries, until it has its answer. */
  private Attempt current;

  WorkerSocket(SocketRun run, EmulatedWorker worker) {
    this.run = run;
    this.worker = worker;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    worker.model.burden(worker.handshakeWork());
    ctx.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    String path = message.uri();
    if (message.method().equals(HttpMethod.DELETE) && path.startsWith("/jobs/")) {
      worker.model.cancel(path.substring("/jobs/".length()));
      run.givenUp(path.substring("/jobs/".length()), worker);
      answer(ctx, HttpResponseStatus.OK, "");
    } else if (path.equals("/-/load") || path.equals("/-/healthy")) {
      LoadReport report = worker.model.report();
      answer(
          ctx,
          HttpResponseStatus.OK,
          new JsonObject().add("x0", report.freeSlots()).add("queue", report.queued()).toString());
    } else {
      job(ctx, message);
    }
  }

  private void job(ChannelHandlerContext ctx, FullHttpRequest message) {
    Request request = run.request(message.headers().get("Req-Id"));
    if (request == null) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "");
      return;
    }
    run.observer.sent(run.time.now(), request.node(), worker, request);
    Attempt attempt = new Attempt(request);
    current = attempt;
    double way = run.network.stream(run.zoneOf(request), worker.zone);
    boolean resets = run.network.resets();
    run.time.after(way, () -> arrive(ctx, attempt, resets));
  }

  private void arrive(ChannelHandlerContext ctx, Attempt attempt, boolean resets) {
    if (worker.vanished() || worker.model.hung() || attempt.over) {
      return;
    }
    if (resets || !worker.model.up()) {
      ctx.close();
      return;
    }
    boolean taken = run.fleet.offer(worker, attempt.request, worker.model.startedAt() > 0, attempt);
    back(
        () -> {
          if (attempt.over && !taken) {
            return;
          }
          current = null;
          if (taken) {
            answer(ctx, HttpResponseStatus.ACCEPTED, "");
          } else {
            attempt.over(AttemptOutcome.FULL);
            FullHttpResponse full = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            full.headers().set("Srv-Declined", "1");
            ctx.writeAndFlush(full);
          }
        },
        attempt);
  }

  /** Carries out on the node's side, a way later; never where it is cut. */
  private void back(Runnable task, Attempt attempt) {
    run.time.after(run.network.stream(worker.zone, run.zoneOf(attempt.request)), task);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (current != null) {
      // Closed before the 202: the node has given it up, or the process has died.
      current.over(worker.model.up() ? AttemptOutcome.TIMEOUT : AttemptOutcome.RESET);
      current = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }

  private static FullHttpResponse response(HttpResponseStatus status, String body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    return response;
  }

  private static void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
    ctx.writeAndFlush(response(status, body));
  }

  /** One attempt at this worker, which calls the node back as its job goes on. */
  private final class Attempt implements WorkerModel.Ear {
    private final Request request;
    private boolean over;

    Attempt(Request request) {
      this.request = request;
      run.out(request.id, worker, () -> over(AttemptOutcome.TIMEOUT));
    }

    void over(AttemptOutcome outcome) {
      if (!over) {
        over = true;
        run.observer.attemptOver(run.time.now(), request.node(), worker, request, outcome);
      }
    }

    private void callBack(String state, JsonObject more, AttemptOutcome outcome, int tries) {
      if (worker.vanished()) {
        return;
      }
      double way = run.network.stream(worker.zone, run.zoneOf(request));
      if (way == Network.NEVER) {
        again(state, more, outcome, tries);
        return;
      }
      run.time.after(
          way,
          () -> {
            if (outcome != null) {
              over(outcome);
            }
            byte[] body = more.toString().getBytes(StandardCharsets.UTF_8);
            run.http.send(
                run.nodeAddress(request.node()),
                () -> {
                  FullHttpRequest post =
                      new DefaultFullHttpRequest(
                          HttpVersion.HTTP_1_1,
                          HttpMethod.POST,
                          "/_jobs/news",
                          Unpooled.wrappedBuffer(body));
                  post.headers()
                      .set(HttpHeaderNames.HOST, "node")
                      .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
                  return post;
                },
                new HttpPool.Listener() {
                  @Override
                  public void answered(FullHttpResponse response) {
                    if (response.status().code() / 100 != 2) {
                      again(state, more, null, tries);
                    }
                  }

                  @Override
                  public void unreached() {
                    again(state, more, null, tries);
                  }

                  @Override
                  public void broken() {
                    again(state, more, null, tries);
                  }
                });
          });
    }

    private void again(String state, JsonObject more, AttemptOutcome outcome, int tries) {
      if (tries < CALLBACK_TRIES) {
        run.time.after(CALLBACK_AGAIN, () -> callBack(state, more, outcome, tries + 1));
      }
    }

    private JsonObject news(String state) {
      return new JsonObject().add("id", request.id).add("from", worker.name).add("state", state);
    }

    @Override
    public void started() {
      run.observer.started(run.time.now(), worker, request.id);
      callBack("started", news("started"), null, 0);
    }

    @Override
    public void progress(double share) {
      callBack("running", news("running").add("share", share), null, CALLBACK_TRIES);
    }

    @Override
    public void done() {
      callBack("done", news("done").add("result", "done " + request.id), AttemptOutcome.OK, 0);
    }

    @Override
    public void failed() {
      callBack("failed", news("failed"), AttemptOutcome.ERROR, 0);
    }

    @Override
    public void returned() {
      callBack("returned", news("returned"), AttemptOutcome.FULL, 0);
    }

    @Override
    public void lost() {
      callBack("lost", news("lost"), AttemptOutcome.RESET, 0);
    }
  }
}
