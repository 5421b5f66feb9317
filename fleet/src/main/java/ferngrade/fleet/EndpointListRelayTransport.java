package ferngrade.fleet;

import ferngrade.codec.Codec;
import ferngrade.lease.EndpointListRelay;
import ferngrade.lease.EndpointListRelay.FullListRequest;
import ferngrade.lease.EndpointListRelay.RelayedLine;
import ferngrade.node.Clock;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Connects {@link EndpointListRelay} to sockets: one member of the fleet watches the endpoint list
 * and relays it to the other members. All methods belong to the member's thread.
 */
final class EndpointListRelayTransport implements AutoCloseable {
  private final Codec codec =
      new Codec(List.of(RelayedLine.class, FullListRequest.class, FullListResponse.class));
  private final EndpointListCopy copy = new EndpointListCopy();
  private final Clock clock;
  private final List<String> otherMembers;
  private final BiConsumer<String, byte[]> sendToMember;
  private final Consumer<String> log;
  private final EndpointListServer server;
  private final EndpointListWatch watch;
  private final EndpointListRelay relay;
  private String relayingMember;

  /** The reply to a {@link FullListRequest}. */
  record FullListResponse(RelayedLine fed) {}

  /**
   * The environment of the transport.
   *
   * @param clock the member's monotonic clock
   * @param loop runs tasks on the member's thread
   * @param sendToMember sends a message to the named member
   * @param log receives each log line
   */
  record Environment(
      Clock clock, Executor loop, BiConsumer<String, byte[]> sendToMember, Consumer<String> log) {}

  EndpointListRelayTransport(FleetFile file, String name, Environment environment)
      throws IOException {
    this.clock = environment.clock();
    this.sendToMember = environment.sendToMember();
    this.log = environment.log();
    this.otherMembers =
        file.members().stream()
            .map(FleetFile.Member::name)
            .filter(member -> !member.equals(name))
            .toList();
    this.server =
        file.member(name).list() == null ? null : new EndpointListServer(file.member(name).list());
    this.watch = new EndpointListWatch(file.discovery(), environment.loop(), this::lineReceived);
    this.relay = new EndpointListRelay(clock.now(), new RelayActions());
  }

  /**
   * Runs the due tasks of the relay and of the watch, and updates the age of the served list.
   * {@code ownedEpoch} is the epoch under which this member owns the shard of the endpoint list,
   * empty if it does not own it.
   */
  void poll(OptionalLong ownedEpoch) {
    double now = clock.now();
    relay.tick(now, ownedEpoch);
    watch.poll(now);
    if (server != null) {
      server.setAge(relay.ageMillis(now));
    }
  }

  /** The address that serves the list to the node, as HOST:PORT; null if none is configured. */
  String address() {
    return server == null
        ? null
        : server.address().getHostString() + ":" + server.address().getPort();
  }

  private void lineReceived(String line) {
    watch.lineReceived(clock.now());
    relay.discoveryLineReceived(clock.now(), line);
  }

  /** Handles a message of another member; a malformed one is ignored. */
  void handleMessage(String from, byte[] message) {
    Object decoded;
    try {
      decoded = codec.read(message, 0, message.length);
    } catch (IOException malformed) {
      return;
    }
    if (decoded instanceof RelayedLine relayed && relayed.line() != null) {
      relayingMember = from;
      relay.relayedLineReceived(clock.now(), relayed);
    } else if (decoded instanceof FullListResponse response
        && response.fed() != null
        && response.fed().line() != null) {
      relay.fullListReceived(clock.now(), response.fed());
    } else if (decoded instanceof FullListRequest request) {
      RelayedLine fullList = relay.fullListFor(clock.now(), request);
      if (fullList != null) {
        sendToMember.accept(from, codec.write(new FullListResponse(fullList)));
      }
    }
  }

  @Override
  public void close() {
    watch.setEnabled(false);
    if (server != null) {
      server.close();
    }
  }

  private final class RelayActions implements EndpointListRelay.Actions {
    @Override
    public void startWatch() {
      log.accept("list asking=yes");
      watch.setEnabled(true);
    }

    @Override
    public void stopWatch() {
      log.accept("list asking=no fed by=" + relayingMember);
      watch.setEnabled(false);
    }

    @Override
    public void deliver(String line) {
      try {
        copy.apply(line);
      } catch (RuntimeException invalid) {
        log.accept("invalid endpoint list line ignored: " + invalid.getMessage());
        return;
      }
      if (server != null) {
        server.publish(line, copy.fullList());
      }
    }

    @Override
    public String fullList() {
      return copy.fullList();
    }

    @Override
    public void broadcast(RelayedLine relayed) {
      byte[] bytes = codec.write(relayed);
      otherMembers.forEach(member -> sendToMember.accept(member, bytes));
    }

    @Override
    public void requestFullList(FullListRequest request) {
      if (relayingMember != null) {
        sendToMember.accept(relayingMember, codec.write(request));
      }
    }
  }
}
