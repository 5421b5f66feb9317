package ferngrade.emulator.socket;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import ferngrade.config.SettingsMapping;
import ferngrade.emulator.Fault;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.invariant.InvariantChecker;
import ferngrade.emulator.invariant.InvariantCheckers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests production nodes in child processes with the emulated environment on loopback sockets. */
@Test(timeOut = 120_000)
public class SocketRunTest {
  private static List<String> nodeCommand() {
    String path =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    return List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        path,
        "ferngrade.Main",
        "serve");
  }

  @Test
  public void realNodesKeepInvariantsDuringDeployKillAndPause() throws Exception {
    Scenario scenario = Scenario.standard();
    scenario.duration = 6000;
    scenario.workers = 6;
    scenario.nodes = 2;
    scenario.workload.load = 0.4;
    scenario.workload.impatient = 0.1;
    scenario.discovery.noticeMost = 1000;
    scenario.discovery.repeats = 0.5;
    scenario.faults.add(new Fault(Fault.Kind.DEPLOY, 500, 2000, 0.2, 0.4, -1));
    scenario.faults.add(new Fault(Fault.Kind.NODE_KILL, 2500, 300, 1, 0, 0));
    scenario.faults.add(new Fault(Fault.Kind.NODE_PAUSE, 3500, 700, 1, 0, 1));
    InvariantCheckers checkers = new InvariantCheckers(scenario);
    Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
    List<Observer> observers = new ArrayList<>(checkers.all());
    observers.add(
        new Observer() {
          @Override
          public void requestEnded(double now, Request request, Answer answer) {
            answers.merge(answer, 1, Integer::sum);
          }
        });
    Path folder = Files.createTempDirectory("socket-run");
    SocketRun run = new SocketRun(scenario, 3, nodeCommand(), folder, observers);
    String invalidReason = run.run();
    checkers.finish(run.startedAt() + run.elapsedMillis());
    // If the machine was too busy, the run is invalid and its results do not describe the program.
    if (invalidReason == null) {
      for (InvariantChecker checker : checkers.all()) {
        assertEquals(checker.violations().toString(), "[]");
      }
    }
    assertTrue(answers.get(Answer.SERVED) > 20, answers + " " + invalidReason);
  }

  @Test
  public void busyMachineInvalidatesTheRun() {
    RealTime withinLimits = new RealTime(null);
    RealTime blocked = new RealTime(null);
    RealTime oftenLate = new RealTime(null);
    for (int i = 0; i < 1000; i++) {
      withinLimits.tick(i % 100 == 0 ? 30 : 0.2);
      blocked.tick(i == 500 ? 450 : 0);
      oftenLate.tick(i % 20 == 0 ? 30 : 0);
    }
    assertNull(withinLimits.invalidReason());
    assertNotNull(blocked.invalidReason());
    assertNotNull(oftenLate.invalidReason());
  }

  @Test
  public void nodeReadsTheSettingsThatVirtualTimeUses() {
    Scenario scenario = Scenario.standard();
    for (int node = 0; node < scenario.nodes; node++) {
      SettingsMapping mapping = new SettingsMapping();
      mapping.put(NodeFile.settings(scenario, node));
      assertEquals(mapping.build(), scenario.settings(node));
    }
  }
}
