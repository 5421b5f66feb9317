package ferngrade.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.node.LoopMonitor;
import ferngrade.node.RateLimitedLog;
import ferngrade.node.Timers;
import io.netty.channel.MaxMessagesRecvByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against evicting or timing out connections that hold a complete unread request. */
public class ConnectionTableTest {
  private static final double TIMEOUT_MILLIS = 1500;
  private static final int MAX_OPEN = 12;
  private static final int MAX_AWAITED = 3;

  private double now;
  private Timers timers;
  private List<Runnable> endOfTurn;
  private EmbeddedChannel listener;
  private ForcedCloses forcedCloses;
  private ConnectionTable<Connection> table;

  /** A simulated connection on which a request may be unread. */
  private final class Connection implements ManagedConnection {
    private ConnectionState state = ConnectionState.UNREAD;
    private boolean trusted;
    private boolean requestUnread;
    private boolean peerClosed;
    private boolean closed;

    @Override
    public ConnectionState state() {
      return state;
    }

    @Override
    public boolean trusted() {
      return trusted;
    }

    @Override
    public boolean readPending() {
      if (peerClosed) {
        // Like Netty, reports the close to the table only at the end of the turn.
        state = ConnectionState.RESTING;
        endOfTurn.add(() -> table.closed(this));
        return false;
      }
      if (requestUnread) {
        requestUnread = false;
        state = ConnectionState.BUSY;
        table.busy(this);
      } else if (state == ConnectionState.UNREAD) {
        state = ConnectionState.RESTING;
      }
      return true;
    }

    @Override
    public ForcedCloses.ConnectionSnapshot snapshot(double time) {
      return new ForcedCloses.ConnectionSnapshot(state, trusted, 0, 0);
    }

    @Override
    public void timedOut() {
      evict();
    }

    @Override
    public void evict() {
      closed = true;
      table.closed(this);
    }
  }

  @BeforeMethod
  public void start() {
    now = 0;
    endOfTurn = new ArrayList<>();
    timers = new Timers(() -> now, (millis, run) -> {});
    AcceptSwitch acceptSwitch = new AcceptSwitch(timers, AcceptSwitch.PauseListener.NONE);
    listener = new EmbeddedChannel(acceptSwitch);
    RateLimitedLog log = new RateLimitedLog(() -> now, line -> {});
    forcedCloses = new ForcedCloses("test", new LoopMonitor(() -> now, log), log);
    table =
        new ConnectionTable<>(
            new ConnectionTable.Limits(MAX_OPEN, MAX_AWAITED),
            TIMEOUT_MILLIS,
            acceptSwitch,
            new ConnectionTable.Dependencies(
                () -> now, timers, task -> endOfTurn.add(task), forcedCloses));
    table.startSweeping();
  }

  private List<Connection> open(int count, boolean requestUnread) {
    List<Connection> opened = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Connection connection = new Connection();
      connection.requestUnread = requestUnread;
      table.opened(connection);
      opened.add(connection);
    }
    return opened;
  }

  private Connection openIdle() {
    Connection connection = open(1, false).get(0);
    connection.trusted = true;
    connection.state = ConnectionState.RESTING;
    table.betweenRequests(connection);
    return connection;
  }

  private void endTurn() {
    List<Runnable> tasks = endOfTurn;
    endOfTurn = new ArrayList<>();
    tasks.forEach(Runnable::run);
  }

  private void advance(double millis) {
    now += millis;
    timers.run();
  }

  private static long closed(List<Connection> connections) {
    return connections.stream().filter(connection -> connection.closed).count();
  }

  /** Guards against closing connections that exceed the limit before they have been read. */
  @Test
  public void readsUnreadConnectionsBeforeEvictingAny() {
    List<Connection> untrusted = open(2, false);
    List<Connection> clients = open(MAX_OPEN - 2, true);
    endTurn();
    assertEquals(closed(clients), 0);
    assertEquals(closed(untrusted), 1, "capacity for one connection is kept free");
    assertTrue(untrusted.get(0).closed, "the oldest connection is evicted first");
  }

  /**
   * Guards against evicting a client that is slow to send its request while there is free capacity.
   */
  @Test
  public void keepsIdleUntrustedConnectionsForTheGracePeriodWhileThereIsCapacity() {
    List<Connection> idleUntrusted = open(MAX_AWAITED + 2, false);
    endTurn();
    assertEquals(closed(idleUntrusted), 0);
    advance(AwaitedConnections.GRACE_PERIOD_MILLIS);
    assertEquals(closed(idleUntrusted), 2);
    assertTrue(
        idleUntrusted.get(0).closed && idleUntrusted.get(1).closed,
        "the oldest connections are evicted");
  }

  /**
   * Guards against unbounded memory for request bodies when many idle connections each send a part
   * of a request.
   */
  @Test
  public void limitsConnectionsThatReceiveAPartialRequestInTheSameTurn() {
    List<Connection> idleUntrusted = open(MAX_AWAITED + 3, false);
    endTurn();
    for (Connection connection : idleUntrusted) {
      connection.state = ConnectionState.RECEIVING;
      table.receiving(connection);
    }
    endTurn();
    assertEquals(idleUntrusted.size() - closed(idleUntrusted), MAX_AWAITED);
  }

  /**
   * Guards against idle untrusted connections that take the capacity that other connections need.
   */
  @Test
  public void evictsIdleUntrustedConnectionsAtOnceWhenCapacityIsScarce() {
    Connection idle = openIdle();
    List<Connection> idleUntrusted = open(MAX_OPEN - 1, false);
    endTurn();
    assertEquals(idleUntrusted.size() - closed(idleUntrusted), MAX_AWAITED);
    assertFalse(idle.closed, "untrusted connections do not evict a trusted client");
  }

  /**
   * Guards against closing idle connections with unread requests when another process of the node
   * starts and the limit drops.
   */
  @Test
  public void closesOnlyIdleConnectionsWithoutUnreadBytesWhenTheLimitDrops() {
    List<Connection> idle = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      idle.add(openIdle());
    }
    idle.get(0).requestUnread = true;
    table.setLimits(new ConnectionTable.Limits(4, MAX_AWAITED));
    endTurn();
    assertFalse(idle.get(0).closed);
    assertEquals(closed(idle), 1);
  }

  /**
   * Guards against a timeout in the same turn of the event loop in which the request can be read.
   */
  @Test
  public void readsARequestThatHasArrivedWhenItsTimeoutExpires() {
    Connection late = open(1, false).get(0);
    late.requestUnread = true;
    Connection idleUntrusted = open(1, false).get(0);
    advance(2 * TIMEOUT_MILLIS);
    assertFalse(late.closed);
    assertEquals(late.state, ConnectionState.BUSY);
    advance(TIMEOUT_MILLIS);
    assertTrue(idleUntrusted.closed);
  }

  /**
   * Guards against peers that never read their responses and thereby hold all connections
   * indefinitely.
   */
  @Test
  public void evictsConnectionsWithUnreadResponsesAfterTheGracePeriod() {
    Connection idle = openIdle();
    List<Connection> responding = open(MAX_OPEN - 1, true);
    endTurn();
    for (Connection connection : responding) {
      connection.state = ConnectionState.RESPONDING;
      table.awaitPeer(connection);
    }
    endTurn();
    assertEquals(closed(responding), 0);
    assertTrue(idle.closed, "capacity for one connection is kept free");
    Connection added = openIdle();
    advance(AwaitedConnections.GRACE_PERIOD_MILLIS);
    assertTrue(responding.get(0).closed);
    assertFalse(added.closed);
    assertEquals(maxAccepts(), 1);
    advance(TIMEOUT_MILLIS);
    assertEquals(closed(responding), 1, "a response has no timeout while there is capacity");
  }

  /**
   * Guards against evicting open connections because connections that their peers have closed are
   * still counted until the end of the turn.
   */
  @Test
  public void removesConnectionsClosedByTheirPeersBeforeEvictingOthers() {
    Connection idle = openIdle();
    Connection closing = open(1, false).get(0);
    closing.state = ConnectionState.CLOSING;
    List<Connection> closedByPeer = open(MAX_OPEN - 2, false);
    closedByPeer.forEach(connection -> connection.peerClosed = true);
    endTurn();
    assertFalse(idle.closed);
    assertFalse(closing.closed);
  }

  /**
   * Guards against accepting more connections than the limit allows; further ones must wait in the
   * backlog.
   */
  @Test
  public void acceptsNoMoreConnectionsThanTheLimitAllows() {
    List<Connection> clients = open(MAX_OPEN - 5, true);
    assertEquals(maxAccepts(), 5);
    clients.addAll(open(5, true));
    endTurn();
    assertEquals(maxAccepts(), 0);
    clients.get(0).evict();
    assertEquals(maxAccepts(), 1);
  }

  /**
   * Guards against a connection that is still kept and counted although it ended before its
   * response was written.
   */
  @Test
  public void doesNotKeepAnEndedConnectionAsIdleAfterItsResponse() {
    Connection ended = open(1, false).get(0);
    ended.trusted = true;
    table.busy(ended);
    table.closed(ended);
    table.betweenRequests(ended);
    for (int i = 0; i < MAX_OPEN; i++) {
      openIdle();
    }
    endTurn();
    assertTrue(maxAccepts() > 0, "an idle connection is evicted");
  }

  private int maxAccepts() {
    MaxMessagesRecvByteBufAllocator allocator = listener.config().getRecvByteBufAllocator();
    return listener.config().isAutoRead() ? allocator.maxMessagesPerRead() : 0;
  }
}
