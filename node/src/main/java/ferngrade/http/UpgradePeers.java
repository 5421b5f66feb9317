package ferngrade.http;

import ferngrade.node.MemoryBudget;
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
 * The other processes of this node while an upgrade runs several processes on one client socket.
 * Workers send callbacks to that socket, so any process may receive a callback for a job of another
 * process; the callback is then relayed to the operators' addresses of the other processes. The
 * addresses are read from the {@link ferngrade.node.SharedLog}. A process of an earlier release
 * does not write to that log; the addresses are then exchanged through a file and an announcement.
 * Confined to the event loop.
 */
public final class UpgradePeers {
  /** The maximum duration of a relay, in ms; the worker waits for its response meanwhile. */
  private static final double RELAY_TIMEOUT_MILLIS = 500;

  /** The maximum duration of an announcement including retries, in ms. */
  private static final double ANNOUNCE_TIMEOUT_MILLIS = 5000;

  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  /**
   * The maximum number of peers; only the newest are kept, since earlier processes have ended by
   * then.
   */
  static final int MAX_PEERS = 8;

  private static final int ACCEPTED_STATUS = HttpResponseStatus.NO_CONTENT.code();
  private static final int UNKNOWN_STATUS = HttpResponseStatus.NOT_FOUND.code();

  private final Timers timers;
  private final MemoryBudget memory;
  private final RateLimitedLog log;
  private final Dialer dialer;
  private final Map<InetSocketAddress, UpgradePeer> peers = new LinkedHashMap<>();
  private final Map<RelayOutcome, Long> relayed = new EnumMap<>(RelayOutcome.class);

  /**
   * The addresses of processes that the log does not name; whether these processes still run is not
   * known.
   */
  private final Set<InetSocketAddress> unrecorded = new LinkedHashSet<>();

  private Consumer<InetSocketAddress> addedListener = address -> {};

  private RunningProcesses runningProcesses = UNKNOWN_PROCESSES;
  private InetSocketAddress ownAddress;

  /** The outcome of a callback that was relayed to the other processes. */
  public enum RelayOutcome {
    /** One process has or had the job. */
    TAKEN,
    /** All processes answered that they never had the job. */
    UNKNOWN,
    /** No other process of the node runs; the process that had the job has ended. */
    ENDED,
    /** A process did not answer, or a process with an unknown address may be running. */
    UNANSWERED
  }

  /** Provides the running processes of the node as recorded in the shared log. */
  public interface RunningProcesses {
    /** Reads the records appended to the log since the last call. */
    void refresh();

    /**
     * Returns false if the log has been read completely and shows no running process beside this
     * one.
     */
    boolean othersMayRun();
  }

  /** Used without a shared log: another process may always be running. */
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
      EventLoopGroup group,
      Timers timers,
      RateLimitedLog log,
      ChannelProvider channels,
      MemoryBudget memory) {
    this.timers = timers;
    this.memory = memory;
    this.log = log;
    this.dialer =
        new Dialer(
            group,
            timers,
            channels,
            Purpose.HANDOVER,
            CONNECT_TIMEOUT_MILLIS,
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                new PeerConnection().addTo(channel.pipeline());
              }
            });
  }

  /**
   * Sets the source that shows whether other processes run. If none runs and there is no peer, a
   * relayed callback has the outcome ENDED.
   */
  public void setRunningProcesses(RunningProcesses running) {
    runningProcesses = running;
  }

  /**
   * Sets the address at which this process receives calls. A peer with the same address is removed,
   * because it is an earlier process that has ended.
   */
  public void setOwnAddress(InetSocketAddress address) {
    ownAddress = address;
    unrecorded.remove(address);
    remove(address);
  }

  /** Adds the address, taken from the shared log, at which another process receives calls. */
  public void addRecorded(InetSocketAddress other) {
    unrecorded.remove(other);
    add(other);
  }

  /**
   * Adds the address at which another process receives calls; the process may belong to an earlier
   * release.
   */
  public void addAnnounced(InetSocketAddress other) {
    if (!other.equals(ownAddress) && !peers.containsKey(other)) {
      unrecorded.add(other);
      if (unrecorded.size() > MAX_PEERS) {
        unrecorded.remove(unrecorded.iterator().next());
      }
    }
    add(other);
  }

  private void add(InetSocketAddress other) {
    if (other.equals(ownAddress) || peers.containsKey(other)) {
      return;
    }
    peers.put(other, new UpgradePeer(other, dialer, timers, memory, this::removeRefused));
    log.line("another process of this node is at " + other);
    addedListener.accept(other);
    if (peers.size() > MAX_PEERS) {
      remove(peers.keySet().iterator().next());
    }
  }

  private void remove(InetSocketAddress address) {
    UpgradePeer peer = peers.remove(address);
    if (peer != null) {
      peer.close();
    }
  }

  /** Sets the task that runs with the address of each process that becomes known from now on. */
  void setAddedListener(Consumer<InetSocketAddress> listener) {
    addedListener = listener;
  }

  /** Returns the address at which this process receives calls; null if it is not known yet. */
  InetSocketAddress ownAddress() {
    return ownAddress;
  }

  /** Returns the addresses of the other processes. */
  List<InetSocketAddress> addresses() {
    return List.copyOf(peers.keySet());
  }

  /** Returns true while a process at this address is taken to run. */
  boolean contains(InetSocketAddress address) {
    return peers.containsKey(address);
  }

  /** Makes a call to one process; the call ends without an answer if there is no such process. */
  void send(InetSocketAddress address, PeerCall call) {
    UpgradePeer peer = peers.get(address);
    if (peer == null) {
      call.end(PeerCall.NO_ANSWER);
    } else {
      peer.send(call);
    }
  }

  /** Announces the address of this process to the other processes. */
  public void announce() {
    String text = ownAddress.getHostString() + ":" + ownAddress.getPort();
    sendToAll("/-/sibling", text, ANNOUNCE_TIMEOUT_MILLIS, status -> {});
  }

  /**
   * Sends a record to the other processes at once, in addition to the shared log. Its delivery is
   * not required.
   */
  public void push(String record) {
    sendToAll("/-/state", record, ANNOUNCE_TIMEOUT_MILLIS, status -> {});
  }

  /** Relays a callback; {@code outcome} is called exactly once. */
  void relay(String callback, Consumer<RelayOutcome> outcome) {
    runningProcesses.refresh();
    RelayRound round = new RelayRound(peers.size(), outcome);
    sendToAll("/-/news", callback, RELAY_TIMEOUT_MILLIS, round::answered);
  }

  /**
   * Returns the number of relayed callbacks by outcome, without entries for outcomes that have not
   * occurred.
   */
  public Map<RelayOutcome, Long> relayed() {
    return Map.copyOf(relayed);
  }

  /** Collects the answers of all processes to one callback. */
  private final class RelayRound {
    private final Consumer<RelayOutcome> outcome;
    private int awaited;
    private boolean unanswered;
    private boolean ended;

    RelayRound(int awaited, Consumer<RelayOutcome> outcome) {
      this.awaited = awaited;
      this.outcome = outcome;
      if (awaited == 0) {
        boolean alone = unrecorded.isEmpty() && !runningProcesses.othersMayRun();
        end(alone ? RelayOutcome.ENDED : RelayOutcome.UNANSWERED);
      }
    }

    void answered(int status) {
      awaited--;
      unanswered |= status != ACCEPTED_STATUS && status != UNKNOWN_STATUS;
      if (status == ACCEPTED_STATUS) {
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

  private void sendToAll(String path, String body, double timeout, IntConsumer status) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    for (UpgradePeer peer : List.copyOf(peers.values())) {
      peer.send(new PeerCall(path, bytes, timeout, status));
    }
  }

  /** Removes a peer that refused a connection, because its process has ended. */
  private void removeRefused(UpgradePeer peer) {
    if (peers.remove(peer.address(), peer)) {
      log.line("the process of this node at " + peer.address() + " has ended");
    }
    peer.close();
  }
}
