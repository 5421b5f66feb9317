package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ferngrade.membership.MessageAuthenticator;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against messages lost after a member's restart and against accepted forged frames. */
class MemberConnectionsTest {
  private static final String KEY = "a key of the fleet's own";

  /** The maximum time for which a test holds an event loop while a close begins. */
  private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private final List<MemberConnections> openConnections = new ArrayList<>();
  private final BlockingQueue<String> received = new LinkedBlockingQueue<>();

  @AfterEach
  void closeConnections() {
    openConnections.forEach(MemberConnections::close);
  }

  private MemberConnections connections(
      String name, String key, long run, Map<String, InetSocketAddress> others) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    return connections(name, key, run, others, group);
  }

  private MemberConnections connections(
      String name,
      String key,
      long run,
      Map<String, InetSocketAddress> others,
      EventLoopGroup group) {
    MemberConnections connections =
        new MemberConnections(
            new MessageAuthenticator("f", List.of(key.getBytes(StandardCharsets.UTF_8)), run),
            name,
            others,
            (from, message) ->
                received.add(from + " " + new String(message, StandardCharsets.UTF_8)),
            group);
    openConnections.add(connections);
    return connections;
  }

  private static InetSocketAddress freeAddress() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** Returns an address without a listener. */
  private static InetSocketAddress unusedAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  /**
   * Sends a message until one is received. The first ones are lost while the connections open and
   * the members exchange the identities of their processes.
   */
  private String sendUntilReceived(MemberConnections from, String to, String text)
      throws InterruptedException {
    String message = null;
    for (int i = 0; i < 1_000 && message == null; i++) {
      from.send(to, text.getBytes(StandardCharsets.UTF_8));
      message = received.poll(20, TimeUnit.MILLISECONDS);
    }
    return message;
  }

  @Test
  void deliversMessagesToTheSuccessorProcessOfAMember() throws Exception {
    MemberConnections b = connections("b", KEY, 2, Map.of("a", unusedAddress()));
    InetSocketAddress address = b.start(freeAddress());
    MemberConnections a = connections("a", KEY, 1, Map.of("b", address));
    a.start(freeAddress());
    assertEquals("a hello", sendUntilReceived(a, "b", "hello"));
    b.close();
    received.clear();
    connections("b", KEY, 3, Map.of("a", unusedAddress())).start(address);
    assertEquals("a again", sendUntilReceived(a, "b", "again"));
  }

  /**
   * Holds the loop in a task until its group begins to end. A group that is ended before its
   * channels are closed then ends without another turn of the loop.
   */
  private static void holdLoop(EventLoopGroup group) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    group.execute(
        () -> {
          held.countDown();
          long startNanos = System.nanoTime();
          while (!group.isShuttingDown() && System.nanoTime() - startNanos < MAX_HOLD_NANOS) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
          }
        });
    held.await();
  }

  @Test
  void closesListenerAndConnectionsWhileATaskHoldsTheLoop() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    MemberConnections b = connections("b", KEY, 2, Map.of("a", unusedAddress()), group);
    InetSocketAddress address = b.start(freeAddress());
    MemberConnections a = connections("a", KEY, 1, Map.of("b", address));
    a.start(freeAddress());
    assertEquals("a hello", sendUntilReceived(a, "b", "hello"));
    holdLoop(group);
    b.close();
    received.clear();
    connections("b", KEY, 3, Map.of("a", unusedAddress())).start(address);
    assertEquals("a again", sendUntilReceived(a, "b", "again"));
  }

  @Test
  void ignoresSendersWithoutKeyOrMemberNameAndClosesConnectionAfterInvalidFrame() throws Exception {
    MemberConnections b = connections("b", KEY, 2, Map.of("a", unusedAddress()));
    InetSocketAddress address = b.start(freeAddress());
    MemberConnections forger =
        connections("a", "a key of somebody else's", 7, Map.of("b", address));
    forger.start(freeAddress());
    MemberConnections nonMember = connections("x", KEY, 8, Map.of("b", address));
    nonMember.start(freeAddress());
    MemberConnections a = connections("a", KEY, 1, Map.of("b", address));
    a.start(freeAddress());
    for (int i = 0; i < 20; i++) {
      forger.send("b", "forged".getBytes(StandardCharsets.UTF_8));
      nonMember.send("b", "unknown".getBytes(StandardCharsets.UTF_8));
      // The frames that the two other senders sent before this frame have been processed by now.
      assertEquals("a true", sendUntilReceived(a, "b", "true"));
    }
    assertNull(
        received.stream().filter(message -> !message.equals("a true")).findFirst().orElse(null));
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(200);
      out.write(new byte[200]);
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
