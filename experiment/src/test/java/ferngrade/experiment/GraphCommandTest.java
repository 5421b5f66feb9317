package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a wrong spectrum of the peer graph, and against links that are not mutual. */
class GraphCommandTest {
  @Test
  void smallTierHasTheSpectrumOfACompleteGraph() {
    GraphCommand.Spectrum five = GraphCommand.spectrum(5);
    // The Laplacian of the complete graph of n nodes has the eigenvalue n with multiplicity n - 1;
    // with a step size of 1/n all slack is distributed in one cycle.
    assertEquals(5, five.lambda2(), 1e-9);
    assertEquals(5, five.lambdaMax(), 1e-9);
    assertEquals(0, five.rate(), 1e-9);
    assertEquals(4.0 / 5 / 5, five.deviation(), 1e-9);
  }

  @Test
  void largerTierHasMutualLinksAndSlowerConvergence() {
    for (int nodes : new int[] {8, 9, 33, 100}) {
      for (int node = 0; node < nodes; node++) {
        for (int peer : GraphCommand.peersOf(node, nodes)) {
          assertTrue(
              GraphCommand.peersOf(peer, nodes).contains(node),
              node
                  + " sends to "
                  + peer
                  + ", which sends nothing back, in a tier of size "
                  + nodes);
        }
      }
    }
    assertTrue(GraphCommand.spectrum(100).rate() > GraphCommand.spectrum(33).rate());
  }
}
