package ferngrade.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** The adapter on hand-written lines. */
class SimulatorHostTest {
  private static final String ENV =
      "Balancers=4 Ceilings.MostTries=3 Ceilings.PeerMessages=true Classes.count=1"
          + " Classes.0.Effect=idempotent Classes.0.GoalTime=100.0 Classes.0.Deadline=5000.0"
          + " Extra.TellsStart=true Rules.TipAfter=3000.0 Rules.FallMultiple=3.0"
          + " Rules.StartCapacity=0.2 Rules.Cold=20000.0 Unknown.New=1";
  private static final String LIST =
      "CENSUS 0 2\nROW - Ready 0 0 51530247 0 1\nROW 6100.0 Ready 0 0 747639282 1 1.5\n";

  private static String start(int me) {
    return "ON dispatcher_"
        + me
        + "\nCONFIGURE "
        + (100 + me)
        + " Me="
        + me
        + " "
        + ENV
        + "\n"
        + LIST
        + "MEMBERS Persisted 41 0\n";
  }

  private static String run(String input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void emptyBatchIsAnswered() throws IOException {
    assertEquals("NEXT\n", run("BEGIN_BATCH 8412.25\nFLUSH\n"));
    assertEquals("", run(""));
  }

  @Test
  void requestIsIssuedToAReadyRunnerAndItsOutcomeRead() throws IOException {
    String reply =
        run(
            "BEGIN_BATCH 10\n"
                + start(0)
                + "FLUSH\nBEGIN_BATCH 12.5\nON dispatcher_0\n"
                + "INGRESS c:b 0 0 - 5012.5\nFLUSH\nBEGIN_BATCH 20\nON dispatcher_0\n"
                + "UPDATE_OF c:b 0 51530247 1 -\nRESOLVED c:b 51530247 - 0 ok 7.5 1 -\nFLUSH\n");
    String[] replies = reply.split("NEXT\n", 0);
    assertTrue(replies[0].startsWith("CONTEXT dispatcher_0\nWAKE_AT "), replies[0]);
    assertTrue(
        replies[1].startsWith("CONTEXT dispatcher_0\nISSUE c:b 51530247 0.000\nWAKE_AT "),
        replies[1]);
    assertEquals(2, replies.length);
    assertTrue(reply.endsWith("NEXT\nNEXT\n"), reply);
  }

  @Test
  void listNumberIsResolvedInTheOrderOfEvents() throws IOException {
    String reply =
        run(
            "BEGIN_BATCH 10\n"
                + start(0)
                + "CENSUS 0 1\nROW - Ready 0 0 77 0 1\nMEMBERS Complete 42 0\n"
                + "INGRESS c:b 0 0 5 5010 - 1 1 0\nFLUSH\n");
    assertTrue(reply.contains("ISSUE c:b 77 "), reply);
  }

  @Test
  void haltAndConfigureInOneBatchStartAfresh() throws IOException {
    String reply =
        run(
            "BEGIN_BATCH 10\n"
                + start(0)
                + "INGRESS c:b 0 0 5 5010\nHALT\n"
                + start(0)
                + "RESOLVED c:b 51530247 - 0 full 1 0 -\nFLUSH\n");
    assertEquals(1, reply.split("ISSUE", -1).length - 1, reply);
  }

  @Test
  void malformedLinesAreNamedPlainly() {
    List<String[]> cases =
        List.of(
            new String[] {"INGRESS c:b x 0 - 5012.5", "INGRESS.Class is not a whole number: x"},
            new String[] {"INGRESS c:b 0 0 - soon", "INGRESS.Due is not a number: soon"},
            new String[] {"INGRESS", "INGRESS.Id is missing"},
            new String[] {"RESOLVED c:b 1 - 0 lost 1 0 -", "RESOLVED.Reason is unknown: lost"},
            new String[] {"RESOLVED c:b 1 - 0 ok 1 7 -", "RESOLVED.Over is neither 0 nor 1: 7"},
            new String[] {"MEMBERS Complete 1 3", "MEMBERS.Ref names a list that never came"},
            new String[] {"CENSUS 99 0", "CENSUS.Ref is out of range: 99"},
            new String[] {"HEARD 1 ???", "HEARD.Body is not base64"},
            new String[] {"GONE  c:b", "GONE. is empty: two spaces in a row"},
            new String[] {"BEGIN_BATCH 11", "BEGIN_BATCH inside a batch"});
    for (String[] each : cases) {
      String input = "BEGIN_BATCH 10\n" + start(0) + each[0] + "\nFLUSH\n";
      WireException thrown = assertThrows(WireException.class, () -> run(input), each[0]);
      assertEquals("line 8: " + each[1], thrown.getMessage());
    }
    assertThrows(WireException.class, () -> run("BEGIN_BATCH 10\n"));
    assertThrows(WireException.class, () -> run("FLUSH\n"));
  }

  @Test
  void actionsDoNotDependOnHowInstancesAreSpread() throws IOException {
    Random random = new Random(5);
    int batches = 300;
    List<List<String>> events = new ArrayList<>();
    for (int me = 0; me < 3; me++) {
      List<String> own = new ArrayList<>();
      for (int i = 0; i < batches; i++) {
        String id = "c:" + me + "x" + i;
        own.add(
            "ON dispatcher_"
                + me
                + "\n"
                + (i == 0 ? start(me).substring(start(me).indexOf('\n') + 1) : "")
                + "INGRESS "
                + id
                + " 0 0 "
                + random.nextInt(99)
                + " "
                + (i * 2 + 5_000)
                + "\n"
                + "RESOLVED "
                + id
                + " 51530247 - 0 "
                + (random.nextInt(3) == 0 ? "full 1 0 -" : "ok 1 1 -")
                + "\n"
                + (i % 50 == 0 ? "REMINDER 1\n" : ""));
      }
      events.add(own);
    }
    StringBuilder together = new StringBuilder();
    StringBuilder[] apart = {new StringBuilder(), new StringBuilder(), new StringBuilder()};
    for (int i = 0; i < batches; i++) {
      together.append("BEGIN_BATCH ").append(i * 2).append('\n');
      for (int me = 0; me < 3; me++) {
        together.append(events.get(me).get(i));
        apart[me]
            .append("BEGIN_BATCH ")
            .append(i * 2)
            .append('\n')
            .append(events.get(me).get(i))
            .append("FLUSH\n");
      }
      together.append("FLUSH\n");
    }
    String reply = run(together.toString());
    for (int me = 0; me < 3; me++) {
      assertEquals(of(me, run(apart[me].toString())), of(me, reply));
    }
  }

  private static List<String> of(int me, String reply) {
    List<String> lines = new ArrayList<>();
    boolean mine = false;
    for (String line : reply.split("\n", 0)) {
      if (line.startsWith("CONTEXT ")) {
        mine = line.equals("CONTEXT dispatcher_" + me);
      } else if (mine && !line.equals("NEXT")) {
        lines.add(line);
      }
    }
    assertTrue(lines.size() > 300, "actions " + lines.size());
    return lines;
  }
}
