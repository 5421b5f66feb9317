package ferngrade.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.codec.Codec;
import ferngrade.golden.GoldenFile;
import ferngrade.membership.Message.Envelope;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the wire format: datagrams, sealed and unsealed, must keep the bytes
 * that an earlier version sent.
 */
class DatagramGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("datagrams.txt");
  private static final List<byte[]> KEYS =
      List.of(
          "first key of the fleet".getBytes(StandardCharsets.UTF_8),
          "second key of the fleet".getBytes(StandardCharsets.UTF_8));
  private static final long PROCESS_ID = 0x1122334455667789L;
  private static final long OTHER_PROCESS_ID = 0x0102030405060709L;

  private final Codec codec = new Codec(Message.CLASSES);

  private static Map<String, Object> values() {
    MembershipUpdate self =
        new MembershipUpdate("m1", "127.0.0.1:7946", PROCESS_ID, 3, MemberStatus.ALIVE, "m1");
    MembershipUpdate other =
        new MembershipUpdate(
            "m2", "127.0.0.2:7946", -OTHER_PROCESS_ID, 4, MemberStatus.SUSPECT, "m3");
    Map<String, Object> values = new LinkedHashMap<>();
    int number = 0;
    for (MemberStatus status : MemberStatus.values()) {
      values.put("standing-" + number, status);
      values.put("news-" + number, self.withStatus(status, "m4"));
      number++;
    }
    List<Message> messages =
        List.of(
            new Message.Ping(5),
            new Message.Ack(6),
            new Message.PingRequest(7, "m5", "127.0.0.5:1"),
            new Message.Nack(8),
            new Message.Digest(-9),
            new Message.Sync(List.of(self, other), true));
    List<String> names = List.of("ping", "ack", "ping-for", "nack", "digest", "sync");
    for (int i = 0; i < messages.size(); i++) {
      values.put(names.get(i), messages.get(i));
      values.put("letter-" + names.get(i), new Envelope(self, messages.get(i), List.of(other)));
    }
    return values;
  }

  @Test
  void readsAndWritesEachMessageAsRecorded() throws IOException {
    for (Map.Entry<String, Object> value : values().entrySet()) {
      GOLDEN.verify(value.getKey(), codec.write(value.getValue()));
      byte[] recorded = GOLDEN.bytes(value.getKey());
      assertEquals(value.getValue(), codec.read(recorded, 0, recorded.length), value.getKey());
    }
  }

  @Test
  void recordsEachClassOfTheFormat() {
    Set<Class<?>> recorded = new HashSet<>();
    values().values().forEach(value -> recorded.add(value.getClass()));
    assertEquals(new HashSet<>(Message.CLASSES), recorded);
  }

  @Test
  void sealsAndUnsealsDatagramsAsRecorded() {
    byte[] content = codec.write(new Message.Ping(5));
    MessageAuthenticator sender = new MessageAuthenticator("kandy members", KEYS, PROCESS_ID);
    MessageAuthenticator receiver =
        new MessageAuthenticator("kandy members", KEYS, OTHER_PROCESS_ID);

    GOLDEN.verify("sealed-to-unknown-process", sender.seal("b", content));
    MessageAuthenticator.UnsealResult greeting =
        receiver.unseal("a", GOLDEN.bytes("sealed-to-unknown-process"));
    GOLDEN.verify("sealed-greeting", greeting.answer());
    MessageAuthenticator.UnsealResult greeted = sender.unseal("b", GOLDEN.bytes("sealed-greeting"));
    GOLDEN.verify("sealed-sent-again", greeted.answer());
    MessageAuthenticator.UnsealResult unsealed =
        receiver.unseal("a", GOLDEN.bytes("sealed-sent-again"));
    assertEquals(MessageAuthenticator.Verdict.TAKEN, unsealed.verdict());
    assertArrayEquals(content, unsealed.content());
    GOLDEN.verify(
        "sealed-without-keys",
        new MessageAuthenticator("kandy members", List.of(), PROCESS_ID).seal("b", content));
  }
}
