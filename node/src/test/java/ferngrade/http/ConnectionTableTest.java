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

/** Guards against connections that give way, or time out, with a whole request unread. */
public class ConnectionTableTest {
  private static final double TIMEOUT = 1500;
  private static final int PLACES = 12;
  private static final int AWAITED = 3;

  private double now;
  private Timers timers;
  private List<Runnable> endOfTurn;
  private EmbeddedChannel listener;
  private ForcedCloses closes;
  private ConnectionTable<Connection> table;

  /** A connection on which a request may lie unread. */
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
        // As with Netty, the table is told at the end of the turn.
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
    public ForcedCloses.Closed asClosed(double at) {
      return new ForcedCloses.Closed(state, trusted, 0, 0);
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
    closes = new ForcedCloses("test", new LoopMonitor(() -> now, log), log);
    table =
        new ConnectionTable<>(
            new ConnectionTable.Limits(PLACES, AWAITED),
            TIMEOUT,
            acceptSwitch,
            new ConnectionTable.Surroundings(
                () -> now, timers, task -> endOfTurn.add(task), closes));
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
    table.rest(connection);
    return connection;
  }

  private void endTurn() {
    List<Runnable> tasks = endOfTurn;
    endOfTurn = new ArrayList<>();
    tasks.forEach(Runnable::run);
  }

  private void pass(double millis) {
    now += millis;
    timers.run();
  }

  private static long closed(List<Connection> connections) {
    return connections.stream().filter(each -> each.closed).count();
  }

  /** Fails where connections are closed for their number before anybody has read them. */
  @Test
  public void whatIsUnreadIsReadBeforeAnyGivesWay() {
    List<Connection> strangers = open(2, false);
    List<Connection> clients = open(PLACES - 2, true);
    endTurn();
    assertEquals(closed(clients), 0);
    assertEquals(closed(strangers), 1, "one place is kept free");
    assertTrue(strangers.get(0).closed, "the oldest goes first");
  }

  /** Fails where a caller that is slow to write gives way while there are places. */
  @Test
  public void silentConnectionsBeyondTheirShareHaveTheirGraceWhileThereArePlaces() {
    List<Connection> silent = open(AWAITED + 2, false);
    endTurn();
    assertEquals(closed(silent), 0);
    pass(AwaitedConnections.SENDING_GRACE);
    assertEquals(closed(silent), 2);
    assertTrue(silent.get(0).closed && silent.get(1).closed, "the oldest go");
  }

  /** Fails where silent connections that then all send a part hold their bodies at will. */
  @Test
  public void silentConnectionsThatThenSendAPartAreBoundedInTheSameTurn() {
    List<Connection> silent = open(AWAITED + 3, false);
    endTurn();
    for (Connection each : silent) {
      each.state = ConnectionState.RECEIVING;
      table.receiving(each);
    }
    endTurn();
    assertEquals(silent.size() - closed(silent), AWAITED);
  }

  /** Fails where silent connections take places that others need. */
  @Test
  public void silentConnectionsGiveWayAtOnceWherePlacesAreScarce() {
    Connection idle = openIdle();
    List<Connection> silent = open(PLACES - 1, false);
    endTurn();
    assertEquals(silent.size() - closed(silent), AWAITED);
    assertFalse(idle.closed, "strangers cost a known client nothing");
  }

  /** Fails where a further process of the node has idle connections closed unread. */
  @Test
  public void lowerLimitClosesOnlyIdleConnectionsWithNothingUnread() {
    List<Connection> idle = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      idle.add(openIdle());
    }
    idle.get(0).requestUnread = true;
    table.limitTo(new ConnectionTable.Limits(4, AWAITED));
    endTurn();
    assertFalse(idle.get(0).closed);
    assertEquals(closed(idle), 1);
  }

  /** Fails where a connection times out in the turn in which its request is there to be read. */
  @Test
  public void requestThatIsThereWhenItsTimeRunsOutIsRead() {
    Connection late = open(1, false).get(0);
    late.requestUnread = true;
    Connection silent = open(1, false).get(0);
    pass(2 * TIMEOUT);
    assertFalse(late.closed);
    assertEquals(late.state, ConnectionState.BUSY);
    pass(TIMEOUT);
    assertTrue(silent.closed);
  }

  /** Fails where peers that read no responses hold all places for good. */
  @Test
  public void connectionsWhoseResponsesAreNotReadGiveWayAfterTheirGrace() {
    Connection idle = openIdle();
    List<Connection> unread = open(PLACES - 1, true);
    endTurn();
    for (Connection each : unread) {
      each.state = ConnectionState.RESPONDING;
      table.await(each);
    }
    endTurn();
    assertEquals(closed(unread), 0);
    assertTrue(idle.closed, "a place is kept free");
    Connection next = openIdle();
    pass(AwaitedConnections.SENDING_GRACE);
    assertTrue(unread.get(0).closed);
    assertFalse(next.closed);
    assertEquals(accepts(), 1);
    pass(TIMEOUT);
    assertEquals(closed(unread), 1, "a response has no timeout while there are places");
  }

  /** Fails where connections that are gone hold their places until the end of the turn. */
  @Test
  public void connectionsWhosePeersAreGoneFreeTheirPlacesBeforeOthersGiveWay() {
    Connection idle = openIdle();
    Connection closing = open(1, false).get(0);
    closing.state = ConnectionState.CLOSING;
    List<Connection> gone = open(PLACES - 2, false);
    gone.forEach(each -> each.peerClosed = true);
    endTurn();
    assertFalse(idle.closed);
    assertFalse(closing.closed);
  }

  /** Fails where more are accepted than there are places: the rest must wait in the backlog. */
  @Test
  public void noMoreAreAcceptedThanThereArePlaces() {
    List<Connection> clients = open(PLACES - 5, true);
    assertEquals(accepts(), 5);
    clients.addAll(open(5, true));
    endTurn();
    assertEquals(accepts(), 0);
    clients.get(0).evict();
    assertEquals(accepts(), 1);
  }

  /** Fails where a connection that ended before its answer is kept, and counted when one is due. */
  @Test
  public void connectionThatHasEndedIsNotKeptAsIdleByItsAnswer() {
    Connection ended = open(1, false).get(0);
    ended.trusted = true;
    table.busy(ended);
    table.closed(ended);
    table.rest(ended);
    for (int i = 0; i < PLACES; i++) {
      openIdle();
    }
    endTurn();
    assertTrue(accepts() > 0, "an idle one gives way");
  }

  private int accepts() {
    MaxMessagesRecvByteBufAllocator allocator = listener.config().getRecvByteBufAllocator();
    return listener.config().isAutoRead() ? allocator.maxMessagesPerRead() : 0;
  }
}
