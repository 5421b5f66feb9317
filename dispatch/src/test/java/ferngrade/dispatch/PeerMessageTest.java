package ferngrade.dispatch;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import ferngrade.golden.GoldenFile;
import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** Messages between peers, and what is rejected as malformed. */
class PeerMessageTest {
  @Test
  void whatIsWrittenIsRead() {
    PeerState peer = PeerMessage.read(PeerMessage.write(9, 12.5, -3, new double[] {4, 0.5}), 2);
    assertEquals(12.5, peer.slice);
    assertEquals(-3, peer.excessDemand);
    assertArrayEquals(new double[] {4, 0.5}, peer.demands);
  }

  @Test
  void theBytesAreAsAnEarlierVersionSentThem() {
    GoldenFile golden = GoldenFile.open("peer-messages.txt");
    golden.verify("two-tenants", PeerMessage.write(9, 12.5, -3.25, new double[] {4, 0.1}));
    golden.verify("no-tenants", PeerMessage.write(Integer.MAX_VALUE, 0, 0, new double[0]));
    PeerState peer = PeerMessage.read(golden.bytes("two-tenants"), 2);
    assertEquals(12.5, peer.slice);
    assertEquals(-3.25, peer.excessDemand);
    assertArrayEquals(new double[] {4, 0.1f}, peer.demands);
  }

  @Test
  void everyCutAndEveryWrongFigureIsDropped() {
    byte[] good = PeerMessage.write(1, 5, 1, new double[] {2});
    for (int length = 0; length < good.length; length++) {
      assertNull(PeerMessage.read(Arrays.copyOf(good, length), 1), "cut to " + length);
    }
    assertNull(PeerMessage.read(Arrays.copyOf(good, good.length + 4), 1), "over-long");
    for (double bad :
        new double[] {Double.NaN, Double.POSITIVE_INFINITY, Double.NEGATIVE_INFINITY, -1}) {
      assertNull(
          PeerMessage.read(PeerMessage.write(1, bad, 1, new double[] {2}), 1), "slice " + bad);
      assertNull(
          PeerMessage.read(PeerMessage.write(1, 5, 1, new double[] {bad}), 1), "demand " + bad);
    }
    assertNull(PeerMessage.read(PeerMessage.write(1, 5, Double.NaN, new double[] {2}), 1), "over");
  }
}
