package ferngrade.http;

import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.ChannelProvider.Purpose;
import ferngrade.transport.Dialer;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * The other processes of this node while an upgrade runs several on one clients' socket. Workers'
 * callbacks come to that socket, so any process may get one for a job of another; it is then
 * relayed to the others at their operators' addresses. They are known from the {@link
 * ferngrade.node.SharedLog}; with a process of an earlier release, which does not write there, the
 * two exchange their addresses by a file and an announcement. Belongs to the event loop.
 */
public final class UpgradePeers {
  /** How long a relay may take, ms: the worker waits for its response meanwhile. */
  private static final double RELAY_TIMEOUT = 500;

  /** How long an announcement may take, with its retries, ms. */
  private static final double ANNOUNCE_TIMEOUT = 5000;

  private static final int CONNECT_TIMEOUT = 500;

  /** The newest processes to keep: the earlier ones have ended long ago. */
  static final int MAX_PEERS = 8;

  private static final int TAKEN_STATUS = HttpResponseStatus.NO_CONTENT.code();
  private static final int UNKNOWN_STATUS = HttpResponseStatus.NOT_FOUND.code();

  private final Timers timers;
  private final RateLimitedLog log;
  private final Dialer dialer;
  private final Map<InetSocketAddress, UpgradePeer> peers = new LinkedHashMap<>();
  private final Map<RelayOutcome, Long> relayed = new EnumMap<>(RelayOutcome.class);

  /** Addresses of processes that the log does not name: whether those run is never known. */
  private final Set<InetSocketAddress> unrecorded = new LinkedHashSet<>();

  private RunningProcesses processes = UNKNOWN_PROCESSES;
  private InetSocketAddress own;

  /** What became of a callback that was relayed to the other processes. */
  public enum RelayOutcome {
    /** One of them has or had the job. */
    TAKEN,
    /** All have answered that they never had it. */
    UNKNOWN,
    /** No other process of the node runs: the one that had the job has ended. */
    ENDED,
    /** One did not answer, or one may run whose address is not known. */
    UNANSWERED
  }

  /** Knows which processes of the node run, from what they write to the shared log. */
  public interface RunningProcesses {
    /** Reads what the log has been appended since it was last read. */
    void refresh();

    /** False if no process runs beside this one, by a log that has been read whole. */
    boolean othersMayRun();
  }

  /** Where no log is shared, another process may always run. */
  private static final RunningProcesses UNKNOWN_PROCESSES =
      new RunningProcesses() {
        @Override
        public void refresh() {}

        @Override
        public boolean othersMayRun() {
          return true;
        }
      };

  public UpgradePeers(
      EventLoopGroup group, Timers timers, RateLimitedLog log, ChannelProvider channels) {
    this.timers = timers;
    this.log = log;
    this.dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.HANDOVER,
            CONNECT_TIMEOUT,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new PeerConnection().addTo(channel.pipeline());
              }
            });
  }

  /** From now on a callback that nobody else can have the job of ends by these. */
  public void knownBy(RunningProcesses running) {
    processes = running;
  }

  /** This process takes calls at this address; another that had it before has ended. */
  public void own(InetSocketAddress address) {
    own = address;
    unrecorded.remove(address);
    forget(address);
  }

  /** Another process takes calls at this address; the shared log names it. */
  public void recorded(InetSocketAddress other) {
    unrecorded.remove(other);
    add(other);
  }

  /** Another process, perhaps of an earlier release, takes calls at this address. */
  public void at(InetSocketAddress other) {
    if (!other.equals(own) && !peers.containsKey(other)) {
      unrecorded.add(other);
      if (unrecorded.size() > MAX_PEERS) {
        unrecorded.remove(unrecorded.iterator().next());
      }
    }
    add(other);
  }

  private void add(InetSocketAddress other) {
    if (other.equals(own) || peers.containsKey(other)) {
      return;
    }
    peers.put(other, new UpgradePeer(other, dialer, timers, this::refused));
    log.line("another process of this node is at " + other);
    if (peers.size() > MAX_PEERS) {
      forget(peers.keySet().iterator().next());
    }
  }

  private void forget(InetSocketAddress address) {
    UpgradePeer peer = peers.remove(address);
    if (peer != null) {
      peer.forget();
    }
  }

  /** Announces to the others where this process takes calls. */
  public void announce() {
    String text = own.getHostString() + ":" + own.getPort();
    callAll("/-/sibling", text, ANNOUNCE_TIMEOUT, status -> {});
  }

  /** Sends the others a record at once, beside the log; nothing depends on its arrival. */
  public void push(String record) {
    callAll("/-/state", record, ANNOUNCE_TIMEOUT, status -> {});
  }

  /** Relays a callback; {@code outcome} runs once. */
  void relay(String callback, Consumer<RelayOutcome> outcome) {
    processes.refresh();
    RelayRound round = new RelayRound(peers.size(), outcome);
    callAll("/-/news", callback, RELAY_TIMEOUT, round::answered);
  }

  /** How many callbacks were relayed, by their outcome; one without an entry has not occurred. */
  public Map<RelayOutcome, Long> relayed() {
    return Map.copyOf(relayed);
  }

  /** The answers of all processes to one callback. */
  private final class RelayRound {
    private final Consumer<RelayOutcome> outcome;
    private int awaited;
    private boolean unanswered;
    private boolean ended;

    RelayRound(int awaited, Consumer<RelayOutcome> outcome) {
      this.awaited = awaited;
      this.outcome = outcome;
      if (awaited == 0) {
        boolean alone = unrecorded.isEmpty() && !processes.othersMayRun();
        end(alone ? RelayOutcome.ENDED : RelayOutcome.UNANSWERED);
      }
    }

    void answered(int status) {
      awaited--;
      unanswered |= status != TAKEN_STATUS && status != UNKNOWN_STATUS;
      if (status == TAKEN_STATUS) {
        end(RelayOutcome.TAKEN);
      } else if (awaited == 0) {
        end(unanswered ? RelayOutcome.UNANSWERED : RelayOutcome.UNKNOWN);
      }
    }

    private void end(RelayOutcome result) {
      if (!ended) {
        ended = true;
        relayed.merge(result, 1L, Long::sum);
        outcome.accept(result);
      }
    }
  }

  private void callAll(String path, String body, double timeout, IntConsumer status) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    for (UpgradePeer peer : List.copyOf(peers.values())) {
      peer.call(new PeerCall(path, bytes, timeout, status));
    }
  }

  /** Nobody listens there any more: that process has ended. */
  private void refused(UpgradePeer peer) {
    if (peers.remove(peer.address(), peer)) {
      log.line("the process of this node at " + peer.address() + " has ended");
    }
    peer.forget();
  }
}
