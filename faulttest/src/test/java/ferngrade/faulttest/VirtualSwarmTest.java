package ferngrade.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/**
 * Runs the membership protocol in virtual time under randomly drawn faults. Guards against members
 * that disagree at the end, wrong failure reports, and accepted forged datagrams.
 */
class VirtualSwarmTest {
  private static final int SEEDS = Integer.getInteger("ferngrade.seeds", 150);

  @Test
  void membersAgreeAndRejectReplayedAndForgedDatagrams() {
    for (int size : new int[] {3, 7, 20}) {
      List<VirtualSwarm.Result> results =
          LongStream.rangeClosed(1, SEEDS / 2)
              .parallel()
              .mapToObj(seed -> VirtualSwarm.run(size, seed, Mutant.NONE))
              .toList();
      assertEquals(
          List.of(),
          results.stream().flatMap(result -> result.violations().stream()).limit(5).toList());
      assertTrue(results.stream().mapToLong(VirtualSwarm.Result::rejected).sum() > 10L * SEEDS);
    }
  }

  @Test
  void lossAloneMarksNoMemberAsFailed() {
    VirtualSwarm.Result result = VirtualSwarm.runWithLoss(10, 1, 0.05, 600_000);
    assertEquals(List.of(), result.violations());
    assertEquals(0, result.falseFailures());
  }

  @Test
  void allMembersDetectACrash() {
    for (long seed = 1; seed <= 10; seed++) {
      assertTrue(VirtualSwarm.runWithCrash(10, seed).detectionMillis() < 20_000, "seed " + seed);
    }
  }

  @Test
  void detectsMembersThatRefuteNothing() {
    assertTrue(
        LongStream.rangeClosed(1, 200)
            .parallel()
            .anyMatch(
                seed ->
                    VirtualSwarm.run(7, seed, Mutant.NO_DENIAL).violations().stream()
                        .anyMatch(violation -> violation.rule().equals("agreed"))));
  }
}
