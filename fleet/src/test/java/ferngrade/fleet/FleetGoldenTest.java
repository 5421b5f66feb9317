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
 * What members send each other of the worker list, their frames, and what operators are answered,
 * keep their form.
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

  /** One member's side, and what it has sent; time stands still. */
  private final class Side {
    private final List<byte[]> sent = new ArrayList<>();
    private final EndpointListRelayTransport duty;
    private double now = 1_000;

    Side(String name) throws Exception {
      Path file = Files.writeString(folder.resolve("fleet.toml"), FILE);
      duty =
          new EndpointListRelayTransport(
              FleetFile.read(file),
              name,
              new EndpointListRelayTransport.Surroundings(
                  () -> now, Runnable::run, (to, message) -> sent.add(message), line -> {}));
    }

    /** What was sent since the last call, which has the recorded form under this name. */
    private void verifySent(String name) {
      assertEquals(1, sent.size(), name);
      GOLDEN.verify(name, sent.remove(0));
    }
  }

  /** A line that a watch would have brought to its owner, which feeds it to the others. */
  private static byte[] written(String name, EndpointListRelay.Fed line) {
    GOLDEN.verify(name, new Codec(List.of(EndpointListRelay.Fed.class)).write(line));
    return GOLDEN.bytes(name);
  }

  @Test
  void messagesOfTheWorkerListAreWrittenAndReadAsRecorded() throws Exception {
    Side owner = new Side("a");
    Side other = new Side("b");

    owner.duty.look(OptionalLong.of(EPOCH));
    owner.verifySent("list-sign-of-life");
    owner.duty.look(OptionalLong.empty());
    owner.duty.received(
        "b", written("list-line", new EndpointListRelay.Fed(EPOCH + 1, 1, WHOLE_LIST, 3.5)));
    owner.duty.look(OptionalLong.of(NEXT_EPOCH));
    owner.verifySent("list-whole-fed");

    // A gap in the line numbers: it asks for the whole list and gets it.
    other.duty.received(
        "a", written("list-later-line", new EndpointListRelay.Fed(NEXT_EPOCH, 3, WHOLE_LIST, 0)));
    other.verifySent("list-ask-whole");
    owner.duty.received("b", GOLDEN.bytes("list-ask-whole"));
    owner.verifySent("list-answer");
    other.duty.received("a", GOLDEN.bytes("list-answer"));
    other.now += 10;
    other.duty.look(OptionalLong.of(NEXT_EPOCH + 1));
    other.verifySent("list-whole-of-next-owner");
  }

  @Test
  @Timeout(30)
  void aFrameBetweenMembersHasTheRecordedBytes() throws Exception {
    try (ServerSocket listener = new ServerSocket(0)) {
      MessageAuthenticator seal =
          new MessageAuthenticator(
              "f", List.of("a key of the fleet's own".getBytes(StandardCharsets.UTF_8)), 77);
      try (MemberConnections links =
          new MemberConnections(
              seal,
              "a",
              Map.of(
                  "b",
                  new InetSocketAddress(InetAddress.getLoopbackAddress(), listener.getLocalPort())),
              (from, message) -> {})) {
        links.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        try (Socket accepted = listener.accept()) {
          byte[] frame = firstFrame(links, accepted);
          GOLDEN.verify("frame", frame);
        }
      }
    }
  }

  /**
   * A frame is dropped before the connection stands: it is sent until one comes; only written ones
   * are numbered.
   */
  private static byte[] firstFrame(MemberConnections links, Socket accepted) throws Exception {
    DataInputStream in = new DataInputStream(accepted.getInputStream());
    while (in.available() == 0) {
      links.send("b", "hello".getBytes(StandardCharsets.UTF_8));
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
  void whatOperatorsAreAnsweredOfTheFleetIsAsRecorded() {
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
    for (MemberStatus standing : MemberStatus.values()) {
      lines.add(
          new MembersStatus.Line(
              new MembershipUpdate("m", "127.0.0.1:7946", -3, 4, standing, "b"), 12.6));
    }
    GOLDEN.verify("members", new MembersStatus("a", lines, 7).json().toString());
  }
}
