package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.codec.Codec;
import ferngrade.golden.GoldenFile;
import ferngrade.lease.EndpointListRelay;
import ferngrade.lease.LeaseTable.Session;
import ferngrade.lease.LeaseTable.Slot;
import ferngrade.lease.Shard;
import ferngrade.membership.MemberStatus;
import ferngrade.membership.MembershipUpdate;
import ferngrade.membership.MessageAuthenticator;
import java.io.DataInputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against incompatible changes of the messages of the endpoint list relay, of the frames
 * between members, and of the responses to operators.
 */
class FleetGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("fleet.txt");
  private static final String FILE =
      """
      name = "f"
      discovery = "127.0.0.1:1"
      [[member]]
      name = "a"
      address = "127.0.0.1:7101"
      [[member]]
      name = "b"
      address = "127.0.0.1:7102"
      """;
  private static final String WHOLE_LIST =
      "{\"revision\":4,\"complete\":true,\"members\":[{\"id\":\"s-1\",\"phase\":\"active\"}]}";
  private static final long EPOCH = 5;
  private static final long NEXT_EPOCH = 7;

  @TempDir private Path folder;

  /** The relay transport of one member with a fixed clock, and the messages that it has sent. */
  private final class RelayMember {
    private final List<byte[]> sent = new ArrayList<>();
    private final EndpointListRelayTransport transport;
    private double now = 1_000;

    RelayMember(String name) throws Exception {
      Path file = Files.writeString(folder.resolve("fleet.toml"), FILE);
      transport =
          new EndpointListRelayTransport(
              FleetFile.read(file),
              name,
              new EndpointListRelayTransport.Environment(
                  () -> now, Runnable::run, (to, message) -> sent.add(message), line -> {}));
    }

    /** Verifies the only message sent since the last call against the recording of this name. */
    private void verifySent(String name) {
      assertEquals(1, sent.size(), name);
      GOLDEN.verify(name, sent.remove(0));
    }
  }

  /** Returns a list line as its owner sends it to the other members, after verifying its bytes. */
  private static byte[] encoded(String name, EndpointListRelay.RelayedLine line) {
    GOLDEN.verify(name, new Codec(List.of(EndpointListRelay.RelayedLine.class)).write(line));
    return GOLDEN.bytes(name);
  }

  @Test
  void endpointListMessagesMatchRecordedBytes() throws Exception {
    RelayMember owner = new RelayMember("a");
    RelayMember other = new RelayMember("b");

    owner.transport.poll(OptionalLong.of(EPOCH));
    owner.verifySent("list-sign-of-life");
    owner.transport.poll(OptionalLong.empty());
    owner.transport.handleMessage(
        "b",
        encoded("list-line", new EndpointListRelay.RelayedLine(EPOCH + 1, 1, WHOLE_LIST, 3.5)));
    owner.transport.poll(OptionalLong.of(NEXT_EPOCH));
    owner.verifySent("list-whole-fed");

    // A gap in the line numbers makes a member request the whole list.
    other.transport.handleMessage(
        "a",
        encoded(
            "list-later-line", new EndpointListRelay.RelayedLine(NEXT_EPOCH, 3, WHOLE_LIST, 0)));
    other.verifySent("list-ask-whole");
    owner.transport.handleMessage("b", GOLDEN.bytes("list-ask-whole"));
    owner.verifySent("list-answer");
    other.transport.handleMessage("a", GOLDEN.bytes("list-answer"));
    other.now += 10;
    other.transport.poll(OptionalLong.of(NEXT_EPOCH + 1));
    other.verifySent("list-whole-of-next-owner");
  }

  @Test
  @Timeout(30)
  void frameBetweenMembersMatchesRecordedBytes() throws Exception {
    try (ServerSocket listener = new ServerSocket(0)) {
      MessageAuthenticator authenticator =
          new MessageAuthenticator(
              "f", List.of("a key of the fleet's own".getBytes(StandardCharsets.UTF_8)), 77);
      try (MemberConnections connections =
          new MemberConnections(
              authenticator,
              "a",
              Map.of(
                  "b",
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort())),
              (from, message) -> {})) {
        connections.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket accepted = listener.accept()) {
          byte[] frame = firstFrame(connections, accepted);
          GOLDEN.verify("frame", frame);
        }
      }
    }
  }

  /**
   * Sends a message until a frame arrives and returns that frame. Messages sent before the
   * connection is open are dropped and do not increase the number of the frame.
   */
  private static byte[] firstFrame(MemberConnections connections, Socket accepted)
      throws Exception {
    DataInputStream in = new DataInputStream(accepted.getInputStream());
    while (in.available() == 0) {
      connections.send("b", "hello".getBytes(StandardCharsets.UTF_8));
      Thread.sleep(20);
    }
    byte[] length = in.readNBytes(Integer.BYTES);
    byte[] content = in.readNBytes(ByteBuffer.wrap(length).getInt());
    byte[] frame = new byte[length.length + content.length];
    System.arraycopy(length, 0, frame, 0, length.length);
    System.arraycopy(content, 0, frame, length.length, content.length);
    return frame;
  }

  @Test
  void operatorResponsesMatchRecordedJson() {
    Shard shard = new Shard("sweep", 0);
    Session session = new Session(13, "a", "ff", 5, true, 1_790_000_002_123L);
    Slot owned =
        new Slot(shard, 13, 80, true, "b", 1_790_000_180_000L, true, 81, "served", 90, "free");
    Slot free = new Slot(new Shard("list", 0), 0, 0, false, "", 0, false, 0, "", 3, "new");
    FleetStatus status =
        new FleetStatus(
            "f",
            "a",
            "b",
            4,
            true,
            91,
            List.of(session),
            List.of(new FleetStatus.Duty(owned, "a"), new FleetStatus.Duty(free, null)));
    GOLDEN.verify("status", status.json().toString());
    List<MembersStatus.Line> lines = new ArrayList<>();
    for (MemberStatus memberStatus : MemberStatus.values()) {
      lines.add(
          new MembersStatus.Line(
              new MembershipUpdate("m", "127.0.0.1:7946", -3, 4, memberStatus, "b"), 12.6));
    }
    GOLDEN.verify("members", new MembersStatus("a", lines, 7).json().toString());
  }
}
