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

/** Tests the replies to hand-written protocol input. */
class SimulatorHostTest {
  private static final String SETTINGS =
      "Balancers=4 Ceilings.MostTries=3 Ceilings.PeerMessages=true Classes.count=1"
          + " Classes.0.Effect=idempotent Classes.0.GoalTime=100.0 Classes.0.Deadline=5000.0"
          + " Extra.TellsStart=true Rules.TipAfter=3000.0 Rules.FallMultiple=3.0"
          + " Rules.StartCapacity=0.2 Rules.Cold=20000.0 Unknown.New=1";
  private static final String WORKER_LIST =
      "CENSUS 0 2\nROW - Ready 0 0 51530247 0 1\nROW 6100.0 Ready 0 0 747639282 1 1.5\n";

  private static String start(int nodeIndex) {
    return "ON dispatcher_"
        + nodeIndex
        + "\nCONFIGURE "
        + (100 + nodeIndex)
        + " Me="
        + nodeIndex
        + " "
        + SETTINGS
        + "\n"
        + WORKER_LIST
        + "MEMBERS Persisted 41 0\n";
  }

  private static String run(String input) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    new SimulatorHost(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
    return out.toString(StandardCharsets.UTF_8);
  }

  @Test
  void repliesToEmptyBatch() throws IOException {
    assertEquals("NEXT\n", run("BEGIN_BATCH 8412.25\nFLUSH\n"));
    assertEquals("", run(""));
  }

  @Test
  void issuesRequestToReadyWorkerAndReadsOutcome() throws IOException {
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
  void resolvesListNumberInOrderOfMessages() throws IOException {
    String reply =
        run(
            "BEGIN_BATCH 10\n"
                + start(0)
                + "CENSUS 0 1\nROW - Ready 0 0 77 0 1\nMEMBERS Complete 42 0\n"
                + "INGRESS c:b 0 0 5 5010 - 1 1 0\nFLUSH\n");
    assertTrue(reply.contains("ISSUE c:b 77 "), reply);
  }

  @Test
  void discardsStateWhenHaltAndConfigureAreInOneBatch() throws IOException {
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
  void reportsLineAndFieldOfMalformedInput() {
    List<String[]> cases =
        List.of(
            new String[] {"INGRESS c:b x 0 - 5012.5", "INGRESS.Class is not a whole number: x"},
            new String[] {"INGRESS c:b 0 0 - soon", "INGRESS.Due is not a number: soon"},
            new String[] {"INGRESS", "INGRESS.Id is missing"},
            new String[] {"RESOLVED c:b 1 - 0 lost 1 0 -", "RESOLVED.Reason is unknown: lost"},
            new String[] {"RESOLVED c:b 1 - 0 ok 1 7 -", "RESOLVED.Over is neither 0 nor 1: 7"},
            new String[] {"MEMBERS Complete 1 3", "MEMBERS.Ref names a list that was never sent"},
            new String[] {"CENSUS 99 0", "CENSUS.Ref is out of range: 99"},
            new String[] {"HEARD 1 ???", "HEARD.Body is not base64"},
            new String[] {"GONE  c:b", "GONE. is empty: two spaces in a row"},
            new String[] {"BEGIN_BATCH 11", "BEGIN_BATCH inside a batch"});
    for (String[] testCase : cases) {
      String input = "BEGIN_BATCH 10\n" + start(0) + testCase[0] + "\nFLUSH\n";
      WireException thrown = assertThrows(WireException.class, () -> run(input), testCase[0]);
      assertEquals("line 8: " + testCase[1], thrown.getMessage());
    }
    assertThrows(WireException.class, () -> run("BEGIN_BATCH 10\n"));
    assertThrows(WireException.class, () -> run("FLUSH\n"));
  }

  @Test
  void producesSameActionsInSharedAndSeparateHosts() throws IOException {
    Random random = new Random(5);
    int batches = 300;
    List<List<String>> messagesByNode = new ArrayList<>();
    for (int nodeIndex = 0; nodeIndex < 3; nodeIndex++) {
      List<String> messages = new ArrayList<>();
      for (int i = 0; i < batches; i++) {
        String id = "c:" + nodeIndex + "x" + i;
        messages.add(
            "ON dispatcher_"
                + nodeIndex
                + "\n"
                + (i == 0 ? start(nodeIndex).substring(start(nodeIndex).indexOf('\n') + 1) : "")
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
      messagesByNode.add(messages);
    }
    StringBuilder shared = new StringBuilder();
    StringBuilder[] separate = {new StringBuilder(), new StringBuilder(), new StringBuilder()};
    for (int i = 0; i < batches; i++) {
      shared.append("BEGIN_BATCH ").append(i * 2).append('\n');
      for (int nodeIndex = 0; nodeIndex < 3; nodeIndex++) {
        shared.append(messagesByNode.get(nodeIndex).get(i));
        separate[nodeIndex]
            .append("BEGIN_BATCH ")
            .append(i * 2)
            .append('\n')
            .append(messagesByNode.get(nodeIndex).get(i))
            .append("FLUSH\n");
      }
      shared.append("FLUSH\n");
    }
    String reply = run(shared.toString());
    for (int nodeIndex = 0; nodeIndex < 3; nodeIndex++) {
      assertEquals(
          actionsOf(nodeIndex, run(separate[nodeIndex].toString())), actionsOf(nodeIndex, reply));
    }
  }

  private static List<String> actionsOf(int nodeIndex, String reply) {
    List<String> lines = new ArrayList<>();
    boolean selected = false;
    for (String line : reply.split("\n", 0)) {
      if (line.startsWith("CONTEXT ")) {
        selected = line.equals("CONTEXT dispatcher_" + nodeIndex);
      } else if (selected && !line.equals("NEXT")) {
        lines.add(line);
      }
    }
    assertTrue(lines.size() > 300, "actions " + lines.size());
    return lines;
  }
}
