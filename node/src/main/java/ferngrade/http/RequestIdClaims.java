package ferngrade.http;

import ferngrade.node.RateLimitedLog;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.RequestIds;
import ferngrade.node.Timers;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Keeps request ids unique among the processes of a node during an upgrade.
 *
 * <p>A process joins the processes that it finds when it starts, before it accepts clients. A
 * joined process sends the ids of all its requests, and from then on claims each new id at the
 * process that joined it before the request may be sent. So the newest process knows all ids, and
 * decides alone, also when an earlier process is suspended. An earlier process that gets no answer
 * to a claim must not send the request.
 *
 * <p>A process of an earlier release does not know these calls. It is asked for each id with a
 * relayed callback, which has no effect there beyond its status; it does not ask in turn. Confined
 * to the event loop.
 */
public final class RequestIdClaims implements RequestIds {
  /** The maximum time to wait for the answers to a claim, in ms. */
  private static final double CLAIM_TIMEOUT_MILLIS = 1000;

  /** The maximum duration of one attempt to join a process, in ms. */
  private static final double JOIN_TIMEOUT_MILLIS = 5000;

  /** The time between two attempts to join a process, in ms. */
  private static final double JOIN_RETRY_MILLIS = 50;

  /**
   * The time in which a process that has started later joins this one, in ms. A process that has
   * not done so by then may have started earlier, while this one could not find it.
   */
  private static final double EXPECTED_JOIN_MILLIS = 5000;

  /** The maximum number of ids in one call; each has up to 128 characters. */
  private static final int MAX_IDS_PER_CALL = 256;

  private static final int OK = HttpResponseStatus.NO_CONTENT.code();
  private static final int UNKNOWN_CALL = HttpResponseStatus.NOT_FOUND.code();
  private static final int IN_USE = HttpResponseStatus.CONFLICT.code();

  private final UpgradePeers peers;
  private final RequestCoordinator coordinator;
  private final Timers timers;
  private final RateLimitedLog log;
  private final int maxForeignIds;
  private final Map<InetSocketAddress, Role> roles = new HashMap<>();
  private final Map<Claim, Long> outcomes = new EnumMap<>(Claim.class);

  /** The ids of the other processes' requests, each with the address of its process. */
  private final Map<String, InetSocketAddress> foreign = new LinkedHashMap<>();

  /** True once {@link #join} has been called, which joins all processes known by then. */
  private boolean joinStarted;

  /** Tasks that wait until every join has ended. */
  private final List<Runnable> whenJoined = new ArrayList<>();

  /** What another process is to this one. */
  private enum Role {
    /** This process waits for the ids of the other one. */
    JOINING,
    /** The other process claims its ids here. */
    CLAIMS_HERE,
    /** This process claims its ids there. */
    DECIDES,
    /** The other process belongs to an earlier release. */
    EARLIER_RELEASE
  }

  /** Creates claims that remember up to {@code maxForeignIds} ids of other processes. */
  public RequestIdClaims(
      UpgradePeers peers,
      RequestCoordinator coordinator,
      Timers timers,
      RateLimitedLog log,
      int maxForeignIds) {
    this.peers = peers;
    this.coordinator = coordinator;
    this.timers = timers;
    this.log = log;
    this.maxForeignIds = maxForeignIds;
    peers.setAddedListener(this::classify);
  }

  /** Returns the number of claims by outcome, without entries for outcomes that did not occur. */
  Map<Claim, Long> outcomes() {
    return Map.copyOf(outcomes);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static String address(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  // ---- Joining ----

  /**
   * Joins the processes known so far. {@code done} runs once each of them has sent its ids, has
   * ended, or is found to belong to an earlier release.
   */
  public void join(Runnable done) {
    joinStarted = true;
    peers.addresses().forEach(this::join);
    whenJoined(done);
  }

  /** Returns true once {@link #join} has been called and every join has ended. */
  boolean joined() {
    return joinStarted && !roles.containsValue(Role.JOINING);
  }

  private void join(InetSocketAddress other) {
    roles.putIfAbsent(other, Role.JOINING);
    peers.send(
        other,
        new PeerCall(
            "/-/join",
            bytes(address(peers.ownAddress())),
            JOIN_TIMEOUT_MILLIS,
            status -> joinEnded(other, status)));
  }

  private void joinEnded(InetSocketAddress other, int status) {
    if (status == OK) {
      roles.replace(other, Role.JOINING, Role.CLAIMS_HERE);
    } else if (status == UNKNOWN_CALL) {
      roles.put(other, Role.EARLIER_RELEASE);
    } else if (peers.contains(other)) {
      timers.after(JOIN_RETRY_MILLIS, () -> join(other));
      return;
    } else {
      roles.remove(other);
    }
    if (!roles.containsValue(Role.JOINING)) {
      List<Runnable> waiting = List.copyOf(whenJoined);
      whenJoined.clear();
      waiting.forEach(Runnable::run);
    }
  }

  private void whenJoined(Runnable task) {
    if (roles.containsValue(Role.JOINING)) {
      whenJoined.add(task);
    } else {
      task.run();
    }
  }

  /**
   * Finds out whether a process that was not known at the start belongs to an earlier release; one
   * of this release has started later and joins by itself.
   */
  private void classify(InetSocketAddress other) {
    roles.remove(other);
    if (!joinStarted) {
      return;
    }
    peers.send(
        other,
        new PeerCall(
            "/-/ids",
            bytes(address(other)),
            JOIN_TIMEOUT_MILLIS,
            status -> {
              if (status == UNKNOWN_CALL) {
                roles.putIfAbsent(other, Role.EARLIER_RELEASE);
              }
            }));
    timers.after(EXPECTED_JOIN_MILLIS, () -> joinIfUnrelated(other));
  }

  private void joinIfUnrelated(InetSocketAddress other) {
    if (peers.contains(other) && !roles.containsKey(other)) {
      join(other);
    }
  }

  /**
   * Handles the call of a process that joins this one. Sends it the ids of this process; {@code
   * answer} receives whether it has got all of them.
   */
  void joinedBy(InetSocketAddress other, Consumer<Boolean> answer) {
    peers.addAnnounced(other);
    roles.put(other, Role.DECIDES);
    sendOwnIds(other, answer);
  }

  /**
   * Sends the ids of this process to the processes that claim theirs here, since this one ends and
   * they may outlive it.
   */
  public void handOver() {
    Map.copyOf(roles)
        .forEach(
            (other, role) -> {
              if (role == Role.CLAIMS_HERE) {
                sendOwnIds(other, complete -> {});
              }
            });
  }

  private void sendOwnIds(InetSocketAddress other, Consumer<Boolean> answer) {
    List<String> ids = coordinator.usedIds();
    List<String> bodies = new ArrayList<>();
    for (int i = 0; i < ids.size(); i += MAX_IDS_PER_CALL) {
      bodies.add(String.join("\n", ids.subList(i, Math.min(ids.size(), i + MAX_IDS_PER_CALL))));
    }
    sendNext(other, bodies, 0, answer);
  }

  private void sendNext(
      InetSocketAddress other, List<String> bodies, int next, Consumer<Boolean> answer) {
    if (next == bodies.size()) {
      answer.accept(true);
      return;
    }
    String body = address(peers.ownAddress()) + "\n" + bodies.get(next);
    peers.send(
        other,
        new PeerCall(
            "/-/ids",
            bytes(body),
            JOIN_TIMEOUT_MILLIS,
            status -> {
              if (status == OK) {
                sendNext(other, bodies, next + 1, answer);
              } else {
                answer.accept(false);
              }
            }));
  }

  /** Handles the ids of another process: its address, and then one id per line. */
  void idsReceived(InetSocketAddress owner, List<String> ids) {
    ids.forEach(id -> remember(id, owner));
  }

  private void remember(String id, InetSocketAddress owner) {
    foreign.put(id, owner);
    if (foreign.size() > maxForeignIds) {
      foreign.remove(foreign.keySet().iterator().next());
    }
  }

  // ---- Claims ----

  /** Handles the claim of another process. Returns false if the id is in use. */
  boolean claimedBy(InetSocketAddress owner, String id) {
    boolean free = !coordinator.hasUsedId(id) && foreign.getOrDefault(id, owner).equals(owner);
    if (free) {
      remember(id, owner);
    }
    return free;
  }

  @Override
  public boolean usedElsewhere(String id) {
    return foreign.containsKey(id);
  }

  @Override
  public void claim(String id, Consumer<Claim> outcome) {
    roles.keySet().removeIf(other -> !peers.contains(other));
    if (roles.values().stream().allMatch(role -> role == Role.CLAIMS_HERE)) {
      outcome.accept(Claim.GRANTED);
    } else {
      new ClaimRound(id, outcome).start();
    }
  }

  /** Collects the answers of the processes that have to be asked for one id. */
  private final class ClaimRound {
    private final String id;
    private final Consumer<Claim> outcome;
    private final Timers.Timer timeout;
    private int awaited;
    private boolean ended;

    ClaimRound(String id, Consumer<Claim> outcome) {
      this.id = id;
      this.outcome = outcome;
      this.timeout = timers.after(CLAIM_TIMEOUT_MILLIS, () -> end(Claim.UNANSWERED));
    }

    void start() {
      whenJoined(this::ask);
    }

    private void ask() {
      if (ended) {
        return;
      }
      if (usedElsewhere(id)) {
        end(Claim.IN_USE);
        return;
      }
      awaited = 1;
      Map.copyOf(roles).forEach(this::ask);
      answered(Claim.GRANTED);
    }

    private void ask(InetSocketAddress other, Role role) {
      switch (role) {
        case DECIDES -> {
          String body = address(peers.ownAddress()) + "\n" + id;
          send(other, "/-/claim", body, OK, IN_USE);
        }
        case EARLIER_RELEASE -> {
          String body = "{\"id\":\"" + id + "\",\"from\":\"\",\"state\":\"started\"}";
          send(other, "/-/news", body, UNKNOWN_CALL, OK);
        }
        case CLAIMS_HERE, JOINING -> {}
        default -> throw new IllegalStateException("unknown role: " + role);
      }
    }

    private void send(
        InetSocketAddress other, String path, String body, int grantedStatus, int inUseStatus) {
      awaited++;
      peers.send(
          other,
          new PeerCall(
              path,
              bytes(body),
              CLAIM_TIMEOUT_MILLIS,
              status -> {
                if (status == inUseStatus) {
                  answered(Claim.IN_USE);
                } else if (status == grantedStatus || !peers.contains(other)) {
                  answered(Claim.GRANTED);
                } else {
                  answered(Claim.UNANSWERED);
                }
              }));
    }

    private void answered(Claim answer) {
      awaited--;
      if (answer != Claim.GRANTED || awaited == 0) {
        end(answer);
      }
    }

    private void end(Claim result) {
      if (!ended) {
        ended = true;
        timeout.cancel();
        outcomes.merge(result, 1L, Long::sum);
        if (result != Claim.GRANTED) {
          log.line("request id " + result, "request id " + id + " claimed: " + result);
        }
        outcome.accept(result);
      }
    }
  }
}
