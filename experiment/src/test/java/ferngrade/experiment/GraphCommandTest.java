package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class GraphCommandTest {
  @Test
  void aSmallTierIsCompleteAndItsSpectrumIsKnown() {
    GraphCommand.Spectrum five = GraphCommand.spectrum(5);
    // The complete graph of n nodes has the eigenvalue n, n - 1 times; with a step of 1/n all slack
    // goes in one cycle.
    assertEquals(5, five.least(), 1e-9);
    assertEquals(5, five.most(), 1e-9);
    assertEquals(0, five.rate(), 1e-9);
    assertEquals(4.0 / 5 / 5, five.deviation(), 1e-9);
  }

  @Test
  void inALargerTierLinksAreMutualAndSlackIsSlower() {
    for (int nodes : new int[] {8, 9, 33, 100}) {
      for (int node = 0; node < nodes; node++) {
        for (int peer : GraphCommand.peersOf(node, nodes)) {
          assertTrue(
              GraphCommand.peersOf(peer, nodes).contains(node),
              node + " and " + peer + " of " + nodes);
        }
      }
    }
    assertTrue(GraphCommand.spectrum(100).rate() > GraphCommand.spectrum(33).rate());
  }
}
