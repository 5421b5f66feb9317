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

/** Handles a connection to an emulated worker: translates between HTTP and the worker model. */
final class WorkerSocket extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final int MAX_CALLBACK_RETRIES = 10;
  private static final double CALLBACK_RETRY_DELAY_MILLIS = 500;

  private final SocketRun run;
  private final EmulatedWorker worker;

  /** The attempt on this connection that is not answered yet; null if there is none. */
  private Attempt unanswered;

  WorkerSocket(SocketRun run, EmulatedWorker worker) {
    this.run = run;
    this.worker = worker;
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    worker.model.addOverhead(worker.handshakeWork());
    ctx.fireChannelActive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
    String path = message.uri();
    if (message.method().equals(HttpMethod.DELETE) && path.startsWith("/jobs/")) {
      worker.model.cancel(path.substring("/jobs/".length()));
      run.attemptGivenUp(path.substring("/jobs/".length()), worker);
      answer(ctx, HttpResponseStatus.OK, "");
    } else if (path.equals("/-/load") || path.equals("/-/healthy")) {
      LoadReport report = worker.model.report();
      answer(
          ctx,
          HttpResponseStatus.OK,
          new JsonObject().add("x0", report.freeSlots()).add("queue", report.queued()).toString());
    } else {
      handleJob(ctx, message);
    }
  }

  private void handleJob(ChannelHandlerContext ctx, FullHttpRequest message) {
    Request request = run.request(message.headers().get("Req-Id"));
    if (request == null) {
      answer(ctx, HttpResponseStatus.BAD_REQUEST, "");
      return;
    }
    run.observer.attemptSent(run.time.now(), request.node(), worker, request);
    Attempt attempt = new Attempt(request);
    unanswered = attempt;
    double delay = run.network.streamDelay(run.zoneOf(request), worker.zone);
    boolean resets = run.network.drawReset();
    run.time.after(delay, () -> arrive(ctx, attempt, resets));
  }

  private void arrive(ChannelHandlerContext ctx, Attempt attempt, boolean resets) {
    if (worker.unreachable() || worker.model.hung() || attempt.ended) {
      return;
    }
    if (resets || !worker.model.up()) {
      ctx.close();
      return;
    }
    boolean accepted =
        run.fleet.offer(worker, attempt.request, worker.model.startedAt() > 0, attempt);
    runAtNode(
        () -> {
          if (attempt.ended && !accepted) {
            return;
          }
          unanswered = null;
          if (accepted) {
            answer(ctx, HttpResponseStatus.ACCEPTED, "");
          } else {
            attempt.recordOutcome(AttemptOutcome.FULL);
            FullHttpResponse full = response(HttpResponseStatus.SERVICE_UNAVAILABLE, "");
            full.headers().set("Srv-Declined", "1");
            ctx.writeAndFlush(full);
          }
        },
        attempt);
  }

  /** Runs a task after the network delay to the node, or never if the network is cut. */
  private void runAtNode(Runnable task, Attempt attempt) {
    run.time.after(run.network.streamDelay(worker.zone, run.zoneOf(attempt.request)), task);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (unanswered != null) {
      // The connection closed before the 202: the node gave up, or the worker's process ended.
      unanswered.recordOutcome(worker.model.up() ? AttemptOutcome.TIMEOUT : AttemptOutcome.RESET);
      unanswered = null;
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

  /** An attempt at this worker, which reports the progress of its job to the node by callbacks. */
  private final class Attempt implements WorkerModel.JobListener {
    private final Request request;
    private boolean ended;

    Attempt(Request request) {
      this.request = request;
      run.registerAttempt(request.id, worker, () -> recordOutcome(AttemptOutcome.TIMEOUT));
    }

    void recordOutcome(AttemptOutcome outcome) {
      if (!ended) {
        ended = true;
        run.observer.attemptEnded(run.time.now(), request.node(), worker, request, outcome);
      }
    }

    private void sendCallback(String state, JsonObject body, AttemptOutcome outcome, int retries) {
      if (worker.unreachable()) {
        return;
      }
      double delay = run.network.streamDelay(worker.zone, run.zoneOf(request));
      if (delay == Network.NEVER) {
        retryLater(state, body, outcome, retries);
        return;
      }
      run.time.after(
          delay,
          () -> {
            if (outcome != null) {
              recordOutcome(outcome);
            }
            byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
            run.http.send(
                run.nodeAddress(request.node()),
                () -> {
                  FullHttpRequest post =
                      new DefaultFullHttpRequest(
                          HttpVersion.HTTP_1_1,
                          HttpMethod.POST,
                          "/_jobs/news",
                          Unpooled.wrappedBuffer(bytes));
                  post.headers()
                      .set(HttpHeaderNames.HOST, "node")
                      .set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
                  return post;
                },
                new HttpPool.Listener() {
                  @Override
                  public void responseReceived(FullHttpResponse response) {
                    if (response.status().code() / 100 != 2) {
                      retryLater(state, body, null, retries);
                    }
                  }

                  @Override
                  public void connectFailed() {
                    retryLater(state, body, null, retries);
                  }

                  @Override
                  public void connectionClosed() {
                    retryLater(state, body, null, retries);
                  }
                });
          });
    }

    private void retryLater(String state, JsonObject body, AttemptOutcome outcome, int retries) {
      if (retries < MAX_CALLBACK_RETRIES) {
        run.time.after(
            CALLBACK_RETRY_DELAY_MILLIS, () -> sendCallback(state, body, outcome, retries + 1));
      }
    }

    private JsonObject callbackBody(String state) {
      return new JsonObject().add("id", request.id).add("from", worker.name).add("state", state);
    }

    @Override
    public void started() {
      run.observer.jobStarted(run.time.now(), worker, request.id);
      sendCallback("started", callbackBody("started"), null, 0);
    }

    @Override
    public void progress(double share) {
      sendCallback(
          "running", callbackBody("running").add("share", share), null, MAX_CALLBACK_RETRIES);
    }

    @Override
    public void done() {
      sendCallback(
          "done", callbackBody("done").add("result", "done " + request.id), AttemptOutcome.OK, 0);
    }

    @Override
    public void failed() {
      sendCallback("failed", callbackBody("failed"), AttemptOutcome.ERROR, 0);
    }

    @Override
    public void returned() {
      sendCallback("returned", callbackBody("returned"), AttemptOutcome.FULL, 0);
    }

    @Override
    public void lost() {
      sendCallback("lost", callbackBody("lost"), AttemptOutcome.RESET, 0);
    }
  }
}
