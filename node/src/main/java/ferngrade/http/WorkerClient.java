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
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;

/** Sends attempts, cancellations and health checks to workers over pooled connections. */
public final class WorkerClient implements WorkerTransport {
  private final Clock clock;
  private final Timers timers;
  private final ConnectionPool pool;
  private final RateLimitedLog log;
  private final Dialer dialer;
  private Runnable beforeAttempt = () -> {};
  private Runnable callbackReader = () -> {};
  private String process;

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

  /**
   * Sets a task that runs on the event loop right before the node decides whether an attempt may
   * start.
   */
  public void setBeforeAttempt(Runnable task) {
    beforeAttempt = task;
  }

  /**
   * Sets a task that reads, on the event loop, the callbacks that have arrived and are not read
   * yet.
   */
  public void setCallbackReader(Runnable reader) {
    callbackReader = reader;
  }

  @Override
  public void readCallbacks() {
    callbackReader.run();
  }

  /** Sets the identification, name and process id, that attempts carry in a header. */
  public void setProcessIdentification(String identification) {
    process = identification;
  }

  /** Returns the identification of this process that attempts carry, or null if they carry none. */
  String process() {
    return process;
  }

  @Override
  public AttemptHandle send(
      JobRequest job, InetSocketAddress worker, double timeout, Listener listener) {
    AttemptExchange attempt = new AttemptExchange(this, job, worker, timeout, listener);
    start(worker, attempt);
    return attempt;
  }

  @Override
  public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
    start(worker, new HealthCheckExchange(worker, timers, listener));
  }

  double now() {
    return clock.now();
  }

  Timers timers() {
    return timers;
  }

  RateLimitedLog log() {
    return log;
  }

  /** Runs the task that precedes the decision whether an attempt may start. */
  void beforeStart() {
    beforeAttempt.run();
  }

  /**
   * Starts the exchange on an idle connection of the pool, or on a new connection if there is none.
   */
  void start(InetSocketAddress worker, HttpExchange exchange) {
    WorkerConnection idle = pool.take(worker);
    if (idle != null) {
      idle.begin(exchange);
    } else {
      dial(worker, exchange);
    }
  }

  /** Starts the exchange on a new connection. */
  void dial(InetSocketAddress worker, HttpExchange exchange) {
    if (!pool.reserve()) {
      log.line("no connection", "no capacity for a connection to " + worker);
      exchange.notConnected(AttemptOutcome.NEVER_SENT);
    } else {
      dialer.dial(worker, exchange.dialTimeout(), new ExchangeDial(worker, exchange));
    }
  }

  /** A dial for an exchange. A connection is reserved for it in the pool. */
  private final class ExchangeDial implements Dialer.Listener {
    private final InetSocketAddress worker;
    private final HttpExchange exchange;

    ExchangeDial(InetSocketAddress worker, HttpExchange exchange) {
      this.worker = worker;
      this.exchange = exchange;
    }

    @Override
    public boolean isStillNeeded() {
      return exchange.isStillNeeded();
    }

    @Override
    public void retryScheduled() {
      exchange.delayedLocally = true;
    }

    @Override
    public void connected(Channel channel) {
      WorkerConnection opened = channel.pipeline().get(WorkerConnection.class);
      opened.opened(worker);
      opened.begin(exchange);
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      pool.unreserve();
      log.line("unreachable", "worker cannot be reached: " + cause.getMessage());
      exchange.notConnected(
          origin == FaultOrigin.LOCAL ? AttemptOutcome.NEVER_SENT : AttemptOutcome.CONNECT_FAILED);
    }
  }
}
