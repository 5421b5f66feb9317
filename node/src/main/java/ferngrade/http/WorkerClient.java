package ferngrade.http;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.node.Clock;
import ferngrade.node.JobRequest;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.node.WorkerTransport;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/** Carries attempts, their cancellations and health checks to workers over pooled connections. */
public final class WorkerClient implements WorkerTransport {
  /** How long a health check may take, ms. */
  private static final double CHECK_PATIENCE = 300;

  /** How long a cancellation may take, ms. */
  private static final double CANCEL_PATIENCE = 2000;

  private final Clock clock;
  private final Timers timers;
  private final ConnectionPool pool;
  private final RateLimitedLog log;
  private final Dialer dialer;
  private Runnable beforeAttempt = () -> {};

  public WorkerClient(
      EventLoopGroup group,
      Clock clock,
      Timers timers,
      ConnectionPool pool,
      double connectTimeout,
      RateLimitedLog log,
      ChannelProvider channels) {
    this.clock = clock;
    this.timers = timers;
    this.pool = pool;
    this.log = log;
    this.dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.WORKERS,
            (int) Math.ceil(connectTimeout),
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new WorkerConnection(pool).addTo(channel.pipeline());
              }
            });
  }

  /** Sets what runs right before it is asked whether an attempt may start, on the event loop. */
  public void beforeAttempt(Runnable task) {
    beforeAttempt = task;
  }

  @Override
  public AttemptHandle send(
      JobRequest call, InetSocketAddress worker, double patience, Listener listener) {
    AttemptExchange transfer = new AttemptExchange(call, worker, clock.now() + patience, listener);
    start(worker, transfer);
    return transfer;
  }

  @Override
  public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
    Check check = new Check(worker, listener);
    check.patienceTimer = timers.after(CHECK_PATIENCE, check::unanswered);
    start(worker, check);
  }

  private void start(InetSocketAddress worker, HttpExchange transfer) {
    WorkerConnection idle = pool.take(worker);
    if (idle != null) {
      idle.begin(transfer);
    } else {
      dial(worker, transfer);
    }
  }

  private void dial(InetSocketAddress worker, HttpExchange transfer) {
    if (!pool.reserve()) {
      log.line("no connection", "no connection left for " + worker);
      transfer.notConnected(AttemptOutcome.NEVER_SENT);
    } else {
      dialer.dial(worker, transfer.patience(), new TransferDial(worker, transfer));
    }
  }

  /** Dials for a transfer, in the place of the pool that is reserved for it. */
  private final class TransferDial implements Dialer.Listener {
    private final InetSocketAddress worker;
    private final HttpExchange transfer;

    TransferDial(InetSocketAddress worker, HttpExchange transfer) {
      this.worker = worker;
      this.transfer = transfer;
    }

    @Override
    public boolean wanted() {
      return transfer.wanted();
    }

    @Override
    public void delayed() {
      transfer.delayedLocally = true;
    }

    @Override
    public void connected(Channel channel) {
      WorkerConnection fresh = channel.pipeline().get(WorkerConnection.class);
      fresh.opened(worker);
      fresh.begin(transfer);
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      pool.unreserve();
      log.line("unreachable", "worker cannot be reached: " + cause.getMessage());
      transfer.notConnected(
          origin == FaultOrigin.LOCAL ? AttemptOutcome.NEVER_SENT : AttemptOutcome.CONNECT_FAILED);
    }
  }

  private static FullHttpRequest request(
      HttpMethod method, String target, InetSocketAddress worker, byte[] body) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, method, target, Unpooled.wrappedBuffer(body));
    request.headers().set(HttpHeaderNames.HOST, worker.getHostString() + ":" + worker.getPort());
    return request;
  }

  /** One request to a worker and its answer. */
  abstract static class HttpExchange {
    /**
     * It waits, or has waited, for what this machine lacks: not to have got through is not the
     * worker's fault.
     */
    boolean delayedLocally;

    /** For how many ms to dial again where this machine fails the dial. */
    abstract double patience();

    /** False if there is nothing to write any more. */
    abstract boolean wanted();

    /** The request to write; null if there is nothing to write any more. */
    abstract FullHttpRequest request();

    /** The connection that carries the transfer from here on. */
    void carriedBy(WorkerConnection connection) {}

    void written() {}

    abstract void answered(FullHttpResponse response);

    /** The connection ended before the answer; LOCAL: by a lack of this machine. */
    abstract void broken(FaultOrigin origin);

    abstract void notConnected(AttemptOutcome outcome);
  }

  /** An attempt: written once, and taken by the worker with a 202. */
  private final class AttemptExchange extends HttpExchange implements AttemptHandle {
    private final JobRequest call;
    private final InetSocketAddress worker;
    private final double until;
    private final Listener listener;
    private WorkerConnection carrier;
    private Stage stage = Stage.DIALLED;

    AttemptExchange(JobRequest call, InetSocketAddress worker, double until, Listener listener) {
      this.call = call;
      this.worker = worker;
      this.until = until;
      this.listener = listener;
    }

    @Override
    double patience() {
      return until - clock.now();
    }

    @Override
    boolean wanted() {
      return stage != Stage.OVER && listener.mayStart();
    }

    @Override
    public boolean delayedLocally() {
      return delayedLocally;
    }

    @Override
    FullHttpRequest request() {
      if (stage == Stage.OVER) {
        return null;
      }
      beforeAttempt.run();
      boolean wanted = listener.mayStart();
      // Read as late as can be: a dial may have taken all the time that there was.
      double left = until - clock.now();
      if (!wanted || left <= 0) {
        end(AttemptOutcome.NEVER_SENT, LoadReport.NONE);
        return null;
      }
      FullHttpRequest request =
          WorkerClient.request(
              HttpMethod.valueOf(call.method()), call.target(), worker, call.body());
      request.headers().set(Headers.ID, call.id());
      request.headers().set(Headers.DEADLINE, WorkerDeadline.header(left));
      request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
      if (call.repeatKey() != null) {
        request.headers().set(Headers.REPEAT_KEY, call.repeatKey());
      }
      return request;
    }

    @Override
    void carriedBy(WorkerConnection connection) {
      carrier = connection;
      stage = Stage.WRITING;
    }

    @Override
    void written() {
      if (stage == Stage.WRITING) {
        stage = Stage.WRITTEN;
        listener.written();
      }
    }

    @Override
    void answered(FullHttpResponse response) {
      carrier = null;
      if (stage == Stage.OVER) {
        return;
      }
      LoadReport report = LoadReportParser.parse(response.headers().get(Headers.LOAD));
      int status = response.status().code();
      if (status == 202) {
        stage = Stage.TAKEN;
        listener.taken();
      } else if ((status == 503 || status == 504)
          && "1".equals(response.headers().get(Headers.DECLINED))) {
        end(AttemptOutcome.FULL, report);
      } else {
        log.line(
            "worker's answer", "worker " + worker + " answered " + status + " to job " + call.id());
        boolean unusable = HttpStatusClass.valueOf(status) == HttpStatusClass.CLIENT_ERROR;
        end(unusable ? AttemptOutcome.UNUSABLE : AttemptOutcome.ERROR, report);
      }
    }

    @Override
    void broken(FaultOrigin origin) {
      carrier = null;
      // Before the last byte the worker cannot have begun; from then on nobody knows.
      boolean mayRun = stage == Stage.WRITTEN;
      if (origin != FaultOrigin.LOCAL) {
        end(mayRun ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
      } else if (mayRun) {
        end(AttemptOutcome.CANCELLED, LoadReport.NONE);
      } else if (stage == Stage.WRITING) {
        stage = Stage.DIALLED;
        delayedLocally = true;
        timers.after(Dialer.BACKOFF, this::startAgain);
      }
    }

    private void startAgain() {
      if (wanted()) {
        start(worker, this);
      } else {
        end(AttemptOutcome.NEVER_SENT, LoadReport.NONE);
      }
    }

    @Override
    void notConnected(AttemptOutcome outcome) {
      end(outcome, LoadReport.NONE);
    }

    private void end(AttemptOutcome outcome, LoadReport report) {
      if (stage != Stage.OVER) {
        stage = Stage.OVER;
        listener.ended(outcome, report);
      }
    }

    /**
     * Closing before the 202 gives an attempt up, but that 202 may be under way already: hence the
     * DELETE.
     */
    @Override
    public void giveUp(Runnable told) {
      boolean mayRun = stage == Stage.WRITTEN || stage == Stage.TAKEN;
      stage = Stage.OVER;
      if (carrier != null) {
        carrier.close();
      }
      if (mayRun) {
        start(worker, new Cancellation(worker, call.id(), told));
      } else {
        told.run();
      }
    }
  }

  /** How far an attempt has come. Each step is taken once; what ends it is heard of once. */
  private enum Stage {
    DIALLED,
    WRITING,
    WRITTEN,
    TAKEN,
    OVER
  }

  /**
   * Tells a worker that nobody waits for a job any more. Nothing depends on its answer; {@code
   * told} runs once, when the word is written or cannot be.
   */
  private final class Cancellation extends HttpExchange {
    private final InetSocketAddress worker;
    private final String id;
    private final Runnable told;
    private WorkerConnection carrier;
    private Timers.Timer patienceTimer;
    private boolean again = true;
    private boolean said;

    Cancellation(InetSocketAddress worker, String id, Runnable told) {
      this.worker = worker;
      this.id = id;
      this.told = told;
    }

    @Override
    double patience() {
      return CANCEL_PATIENCE;
    }

    @Override
    boolean wanted() {
      return true;
    }

    @Override
    FullHttpRequest request() {
      return WorkerClient.request(HttpMethod.DELETE, "/jobs/" + id, worker, new byte[0]);
    }

    @Override
    void carriedBy(WorkerConnection connection) {
      carrier = connection;
      patienceTimer = timers.after(CANCEL_PATIENCE, connection::close);
    }

    @Override
    void written() {
      say();
    }

    @Override
    void answered(FullHttpResponse response) {
      patienceTimer.cancel();
    }

    /** An idle connection may have been closed under the word; it harms nobody said twice. */
    @Override
    void broken(FaultOrigin origin) {
      patienceTimer.cancel();
      if (again && (carrier.reusedAfter >= 0 || origin == FaultOrigin.LOCAL)) {
        again = false;
        dial(worker, this);
      } else {
        say();
      }
    }

    @Override
    void notConnected(AttemptOutcome outcome) {
      say();
    }

    private void say() {
      if (!said) {
        said = true;
        told.run();
      }
    }
  }

  /** A health check. */
  private static final class Check extends HttpExchange {
    private final InetSocketAddress worker;
    private final BiConsumer<AttemptOutcome, LoadReport> listener;
    private WorkerConnection carrier;
    private Timers.Timer patienceTimer;
    private boolean finished;

    Check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      this.worker = worker;
      this.listener = listener;
    }

    @Override
    double patience() {
      return CHECK_PATIENCE;
    }

    @Override
    boolean wanted() {
      return !finished;
    }

    void unanswered() {
      finish(delayedLocally ? AttemptOutcome.NEVER_SENT : AttemptOutcome.TIMEOUT, LoadReport.NONE);
    }

    @Override
    FullHttpRequest request() {
      return finished ? null : WorkerClient.request(HttpMethod.GET, "/-/load", worker, new byte[0]);
    }

    @Override
    void carriedBy(WorkerConnection connection) {
      carrier = connection;
    }

    @Override
    void answered(FullHttpResponse response) {
      carrier = null;
      boolean healthy = response.status().code() == 200;
      finish(
          healthy ? AttemptOutcome.OK : AttemptOutcome.ERROR,
          LoadReportParser.parse(response.content().toString(StandardCharsets.UTF_8)));
    }

    @Override
    void broken(FaultOrigin origin) {
      carrier = null;
      finish(
          origin == FaultOrigin.LOCAL ? AttemptOutcome.NEVER_SENT : AttemptOutcome.RESET,
          LoadReport.NONE);
    }

    @Override
    void notConnected(AttemptOutcome outcome) {
      finish(outcome, LoadReport.NONE);
    }

    private void finish(AttemptOutcome outcome, LoadReport report) {
      if (!finished) {
        finished = true;
        patienceTimer.cancel();
        if (carrier != null) {
          carrier.close();
        }
        listener.accept(outcome, report);
      }
    }
  }
}
