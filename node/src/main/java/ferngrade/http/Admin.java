package ferngrade.http;

import ferngrade.config.EndpointListParser;
import ferngrade.dispatch.RejectionCause;
import ferngrade.node.DurationBuckets;
import ferngrade.node.LoopMonitor;
import ferngrade.node.NodeMetrics;
import ferngrade.node.OperatorState;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.RejectionReason;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.Timers;
import ferngrade.node.WithheldReason;
import ferngrade.node.WorkerCallback;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.PendingReads;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Where operators call: HTTP/1.1, one call to a connection, 2xx for yes and 4xx or 5xx for no. It
 * runs on the node's loop, so that each call sees the node as it is; nothing here waits. A caller
 * has {@link #CALL_TIMEOUT} to bring its whole call, and at most {@code most} callers are held at a
 * time, the oldest giving way, so that silent ones cost nobody else.
 */
public final class Admin {
  /** How long a caller may take to bring a whole call, ms; callers wait 1 s for the answer. */
  static final double CALL_TIMEOUT = 1000;

  /**
   * How long a change of maintenance waits to be stored before its caller is notified that it is
   * not yet, ms. A caller waits 1 s, and the node may be held up for 150 ms in between.
   */
  public static final double STORE_TIMEOUT = 700;

  /** Between the close of the listener and the end of the process, ms. */
  private static final long CLOSE_DELAY = 1;

  /** The largest body of a call, in bytes: a relayed callback is as large as any. */
  static final int MAX_CALL_BYTES = HttpFrontend.MAX_BODY;

  private final RequestCoordinator node;
  private final HttpFrontend front;
  private final UpgradePeers upgradePeers;
  private final List<String> classes;
  private final OperatorState state;
  private final Timers timers;
  private final RateLimitedLog log;
  private final int most;
  private final LoopMonitor loopMonitor;
  private final IntSupplier reloadsOk;
  private final IntSupplier reloadsFailed;
  private final Set<Channel> callers = new LinkedHashSet<>();

  /** The callers whose connections are open. */
  private final Set<Channel> open = new HashSet<>();

  private long accepted;
  private Channel listener;

  /** What runs once no call is open; null if nothing waits for that. */
  private Runnable whenAnswered;

  /**
   * What the operators' calls act on; {@code state} is null where nothing is to outlive the
   * process, {@code upgradePeers} where it has no others beside it.
   */
  public record Parts(
      RequestCoordinator node,
      HttpFrontend front,
      UpgradePeers upgradePeers,
      List<String> classes,
      OperatorState state,
      LoopMonitor loopMonitor,
      IntSupplier reloadsOk,
      IntSupplier reloadsFailed) {}

  public Admin(Parts parts, Timers timers, RateLimitedLog log, int most) {
    this.node = parts.node();
    this.front = parts.front();
    this.upgradePeers = parts.upgradePeers();
    this.classes = parts.classes();
    this.state = parts.state();
    this.loopMonitor = parts.loopMonitor();
    this.reloadsOk = parts.reloadsOk();
    this.reloadsFailed = parts.reloadsFailed();
    this.timers = timers;
    this.log = log;
    this.most = most;
  }

  /** Begins to listen at {@code address}. */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, ChannelProvider channels) {
    ChannelFuture bound =
        new ServerBootstrap()
            .group(group)
            .channelFactory(() -> channels.listener(Purpose.ADMIN, null))
            .option(ChannelOption.SO_REUSEADDR, true)
            .handler(new AcceptSwitch(timers))
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(),
                            new HttpObjectAggregator(MAX_CALL_BYTES),
                            new AdminHandler(Admin.this));
                  }
                })
            .bind(address);
    listener = bound.channel();
    return bound;
  }

  /**
   * Answers every call that has reached this machine, stores what they ask for, and then runs
   * {@code done}, which ends the process. It listens until nothing is left to do: who connects
   * between the last look and the close is reset. A caller that sends nothing is awaited for {@link
   * #CALL_TIMEOUT} at most.
   *
   * @param store runs a task once all that was answered is stored
   */
  public void finish(Consumer<Runnable> store, Runnable done) {
    whenAnswered(() -> store.accept(() -> endUnlessCalled(store, done)));
  }

  /** Runs a task once no call is open, counting those that wait to be accepted. */
  private void whenAnswered(Runnable task) {
    acceptWaiting();
    if (open.isEmpty()) {
      task.run();
    } else {
      whenAnswered = task;
    }
  }

  private void endUnlessCalled(Consumer<Runnable> store, Runnable done) {
    acceptWaiting();
    if (open.isEmpty()) {
      listener.close();
      // The system closes the listener with the next select; from then on callers are refused, also
      // while the runtime ends, which takes some ms.
      listener.eventLoop().schedule(done, CLOSE_DELAY, TimeUnit.MILLISECONDS);
    } else {
      finish(store, done);
    }
  }

  private void acceptWaiting() {
    PendingReads.acceptWaiting(
        (AbstractNioChannel) listener, () -> accepted, () -> open.size() < most);
  }

  /**
   * A caller has connected: it gets its time, and pushes out the oldest caller where there are too
   * many.
   */
  void opened(Channel caller) {
    accepted++;
    open.add(caller);
    callers.add(caller);
    if (callers.size() > most) {
      Channel oldest = callers.iterator().next();
      callers.remove(oldest);
      oldest.close();
    }
    timers.after(CALL_TIMEOUT, caller::close);
  }

  /** A caller has brought its whole call: it gets its answer, however many others come. */
  void received(Channel caller) {
    callers.remove(caller);
  }

  void closed(Channel caller) {
    callers.remove(caller);
    open.remove(caller);
    if (whenAnswered != null && open.isEmpty()) {
      Runnable task = whenAnswered;
      whenAnswered = null;
      whenAnswered(task);
    }
  }

  // ---- The calls ----

  boolean ready() {
    refresh();
    return node.ready() && !front.draining() && (state == null || state.complete());
  }

  /** Each call sees what other processes of the node were told before it. */
  private void refresh() {
    if (state != null) {
      state.refresh();
    }
  }

  /**
   * A callback that the other process of this node got for a job of this one. True if this process
   * has or had the job, and so accepted it.
   */
  boolean callback(String body) throws BadRequestException {
    WorkerCallback callback = WorkerCallbackParser.read(body);
    if (!node.knowsOf(callback.id())) {
      return false;
    }
    node.callback(callback);
    return true;
  }

  /**
   * Another process of this node announces where it takes calls; false where this one has its own
   * socket.
   */
  boolean announced(String address) {
    if (upgradePeers == null) {
      return false;
    }
    upgradePeers.at(EndpointListParser.address(address.trim()));
    return true;
  }

  /**
   * Another process of this node sends a record that it has appended, or could not append, to the
   * log of both; false where this one keeps no state.
   */
  boolean recordReceived(String text) {
    if (state == null) {
      return false;
    }
    state.received(text);
    return true;
  }

  void drain() {
    log.line("drained by operators");
    decided(true);
  }

  private void decided(boolean drained) {
    if (state != null) {
      state.refresh();
      state.drain(drained);
    } else if (drained) {
      front.drainForOperators();
    } else {
      front.resume();
    }
  }

  void resume() {
    log.line("taking clients again");
    decided(false);
  }

  /** What became of a call that takes a worker out or back. */
  enum MaintenanceOutcome {
    /** Nobody has that name; nothing has changed. */
    UNKNOWN_WORKER,
    /** The change holds, and outlives this process. */
    STORED,
    /**
     * The change holds in this process, but could not be stored in time; attempts to store it go
     * on.
     */
    NOT_STORED_YET
  }

  /**
   * Takes a worker out, or back; {@code answer} gets the outcome after {@link #STORE_TIMEOUT} at
   * most. A change that is stored later is reported then; only the first outcome counts.
   */
  void maintain(String worker, boolean out, Consumer<MaintenanceOutcome> answer) {
    refresh();
    boolean known = out ? node.startMaintenance(worker) : node.endMaintenance(worker);
    if (!known) {
      answer.accept(MaintenanceOutcome.UNKNOWN_WORKER);
      return;
    }
    log.line(
        "menu worker " + worker + (out ? " taken out by operators" : " taken back by operators"));
    if (state == null) {
      answer.accept(MaintenanceOutcome.STORED);
      return;
    }
    Timers.Timer timeout =
        timers.after(STORE_TIMEOUT, () -> answer.accept(MaintenanceOutcome.NOT_STORED_YET));
    state.storeMaintenance(
        worker,
        () -> {
          timeout.cancel();
          answer.accept(MaintenanceOutcome.STORED);
        });
  }

  /** The metrics in the operators' form, a {@code name=value} a line. */
  String metrics() {
    refresh();
    NodeMetrics.Snapshot now = node.metrics();
    StringBuilder text = new StringBuilder(256);
    for (int i = 0; i < classes.size(); i++) {
      line(text, "served." + classes.get(i), count(now.served(), i));
      line(text, "refused." + classes.get(i), count(now.refused(), i));
      line(text, "failed." + classes.get(i), count(now.failed(), i));
    }
    line(text, "attempts", now.attempts());
    line(text, "in_flight", now.inFlight());
    line(text, "menu_workers_known", now.known());
    line(text, "menu_workers_excluded", now.excluded());
    line(text, "reloads_ok", reloadsOk.getAsInt());
    line(text, "reloads_failed", reloadsFailed.getAsInt());
    line(text, "retries", now.retries());
    line(text, "abandoned", now.abandoned());
    lines(text, "withheld.", WithheldReason.values(), now.withheld());
    lines(text, "rejected.", RejectionReason.values(), now.rejected());
    lines(text, "rejected_for.", RejectionCause.values(), now.rejectedFor());
    durations(text, "loop_turn", loopMonitor.turns());
    durations(text, "timer_delay", loopMonitor.timerDelays());
    if (upgradePeers != null) {
      lines(text, "relayed.", UpgradePeers.RelayOutcome.values(), upgradePeers.relayed());
    }
    return text.toString();
  }

  /** A line for each reason, also for those that have not occurred. */
  private static <R extends Enum<R>> void lines(
      StringBuilder text, String prefix, R[] reasons, Map<R, Long> counts) {
    for (R reason : reasons) {
      line(text, prefix + reason.name().toLowerCase(Locale.ROOT), counts.getOrDefault(reason, 0L));
    }
  }

  private static void durations(StringBuilder text, String name, DurationBuckets durations) {
    durations.forEach((bound, count) -> line(text, name + ".le_" + bound, count));
    line(text, name + ".max_ms", Math.round(durations.max()));
  }

  private static long count(long[] counts, int jobClass) {
    return jobClass < counts.length ? counts[jobClass] : 0;
  }

  private static void line(StringBuilder text, String name, long value) {
    text.append(name).append('=').append(value).append('\n');
  }
}
