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

/** Carries attempts, their cancellations and health checks to workers over pooled connections. */
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

  /** Sets a task that runs right before it is decided whether an attempt may start, on the loop. */
  public void beforeAttempt(Runnable task) {
    beforeAttempt = task;
  }

  /** Sets a task that reads the callbacks that the event loop has not come to read, on the loop. */
  public void readCallbacksBy(Runnable reader) {
    callbackReader = reader;
  }

  @Override
  public void readCallbacks() {
    callbackReader.run();
  }

  /** Sets what attempts say of the process that sends them, name and process id. */
  public void identifyAs(String sender) {
    process = sender;
  }

  /** What attempts say of the process that sends them; null for nothing. */
  String process() {
    return process;
  }

  @Override
  public AttemptHandle send(
      JobRequest call, InetSocketAddress worker, double timeout, Listener listener) {
    AttemptExchange attempt = new AttemptExchange(this, call, worker, timeout, listener);
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

  /** Runs right before it is decided whether an attempt may start. */
  void beforeStart() {
    beforeAttempt.run();
  }

  /** Starts the exchange on an idle connection of the pool, or else on a new one. */
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

  /** A dial for an exchange, for which a connection of the pool is reserved. */
  private final class ExchangeDial implements Dialer.Listener {
    private final InetSocketAddress worker;
    private final HttpExchange exchange;

    ExchangeDial(InetSocketAddress worker, HttpExchange exchange) {
      this.worker = worker;
      this.exchange = exchange;
    }

    @Override
    public boolean wanted() {
      return exchange.wanted();
    }

    @Override
    public void delayed() {
      exchange.delayedLocally = true;
    }

    @Override
    public void connected(Channel channel) {
      WorkerConnection fresh = channel.pipeline().get(WorkerConnection.class);
      fresh.opened(worker);
      fresh.begin(exchange);
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
