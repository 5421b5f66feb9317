package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ferngrade.membership.MessageAuthenticator;
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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What passes between members' links, and what does not. */
class MemberConnectionsTest {
  private static final String KEY = "a key of the fleet's own";

  private final List<MemberConnections> open = new ArrayList<>();
  private final BlockingQueue<String> came = new LinkedBlockingQueue<>();

  @AfterEach
  void end() {
    open.forEach(MemberConnections::close);
  }

  private MemberConnections links(
      String name, String key, long run, Map<String, InetSocketAddress> others) {
    MemberConnections links =
        new MemberConnections(
            new MessageAuthenticator("f", List.of(key.getBytes(StandardCharsets.UTF_8)), run),
            name,
            others,
            (from, message) -> came.add(from + " " + new String(message, StandardCharsets.UTF_8)));
    open.add(links);
    return links;
  }

  private static InetSocketAddress any() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  /** An address at which nobody listens. */
  private static InetSocketAddress nobody() throws IOException {
    try (ServerSocket free = new ServerSocket(0)) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
    }
  }

  /**
   * Sends until something has come: first tries are lost while links open and ends say who they
   * are.
   */
  private String sendUntilCome(MemberConnections from, String to, String word)
      throws InterruptedException {
    String got = null;
    for (int i = 0; i < 1_000 && got == null; i++) {
      from.send(to, word.getBytes(StandardCharsets.UTF_8));
      got = came.poll(20, TimeUnit.MILLISECONDS);
    }
    return got;
  }

  @Test
  void aMemberIsHeardAlsoByTheNextProcessOfTheOther() throws Exception {
    MemberConnections b = links("b", KEY, 2, Map.of("a", nobody()));
    InetSocketAddress at = b.start(any());
    MemberConnections a = links("a", KEY, 1, Map.of("b", at));
    a.start(any());
    assertEquals("a hello", sendUntilCome(a, "b", "hello"));
    b.close();
    came.clear();
    links("b", KEY, 3, Map.of("a", nobody())).start(at);
    assertEquals("a again", sendUntilCome(a, "b", "again"));
  }

  @Test
  void whoHasNoKeyOrNoNameOfTheFleetIsNotHeardAndALongFrameOfRubbishEndsItsConnection()
      throws Exception {
    MemberConnections b = links("b", KEY, 2, Map.of("a", nobody()));
    InetSocketAddress at = b.start(any());
    MemberConnections stranger = links("a", "a key of somebody else's", 7, Map.of("b", at));
    stranger.start(any());
    MemberConnections unknown = links("x", KEY, 8, Map.of("b", at));
    unknown.start(any());
    MemberConnections a = links("a", KEY, 1, Map.of("b", at));
    a.start(any());
    for (int i = 0; i < 20; i++) {
      stranger.send("b", "forged".getBytes(StandardCharsets.UTF_8));
      unknown.send("b", "unknown".getBytes(StandardCharsets.UTF_8));
      // Whatever they have sent by then was there before this.
      assertEquals("a true", sendUntilCome(a, "b", "true"));
    }
    assertNull(came.stream().filter(each -> !each.equals("a true")).findFirst().orElse(null));
    try (Socket socket = new Socket(at.getAddress(), at.getPort())) {
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      out.writeInt(200);
      out.write(new byte[200]);
      assertEquals(-1, socket.getInputStream().read());
    }
  }
}
