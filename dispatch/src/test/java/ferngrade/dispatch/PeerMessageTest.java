package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ferngrade.golden.GoldenFile;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Checks the encoding of messages between peers and the rejection of malformed ones. */
class PeerMessageTest {
  @Test
  void readsWhatWasWritten() {
    PeerState peer = PeerMessage.read(PeerMessage.write(9, 12.5, -3, new double[] {4, 0.5}), 2);
    assertEquals(12.5, peer.slice);
    assertEquals(-3, peer.excessDemand);
    assertArrayEquals(new double[] {4, 0.5}, peer.demands);
  }

  @Test
  void writesTheSameBytesAsEarlierVersions() {
    GoldenFile golden = GoldenFile.open("peer-messages.txt");
    golden.verify("two-tenants", PeerMessage.write(9, 12.5, -3.25, new double[] {4, 0.1}));
    golden.verify("no-tenants", PeerMessage.write(Integer.MAX_VALUE, 0, 0, new double[0]));
    PeerState peer = PeerMessage.read(golden.bytes("two-tenants"), 2);
    assertEquals(12.5, peer.slice);
    assertEquals(-3.25, peer.excessDemand);
    assertArrayEquals(new double[] {4, 0.1f}, peer.demands);
  }

  @Test
  void rejectsTruncatedMessagesAndInvalidValues() {
    byte[] message = PeerMessage.write(1, 5, 1, new double[] {2});
    for (int length = 0; length < message.length; length++) {
      assertNull(PeerMessage.read(Arrays.copyOf(message, length), 1), "truncated to " + length);
    }
    assertNull(PeerMessage.read(Arrays.copyOf(message, message.length + 4), 1), "too long");
    for (double invalid :
        new double[] {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1}) {
      assertNull(
          PeerMessage.read(PeerMessage.write(1, invalid, 1, new double[] {2}), 1),
          "slice " + invalid);
      assertNull(
          PeerMessage.read(PeerMessage.write(1, 5, 1, new double[] {invalid}), 1),
          "demand " + invalid);
    }
    assertNull(
        PeerMessage.read(PeerMessage.write(1, 5, Double.NaN, new double[] {2}), 1),
        "excess demand");
  }
}
