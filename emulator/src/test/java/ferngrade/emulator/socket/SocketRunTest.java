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

/** The real program as child processes, round the stand-ins on loopback. */
@Test(timeOut = 120_000)
public class SocketRunTest {
  private static List<String> node() {
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
  public void realNodesServeThroughADeployAKillAndAPauseAndKeepTheRules() throws Exception {
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
    InvariantCheckers bench = new InvariantCheckers(scenario);
    Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
    List<Observer> observers = new ArrayList<>(bench.judges());
    observers.add(
        new Observer() {
          @Override
          public void ended(double now, Request request, Answer answer) {
            answers.merge(answer, 1, Integer::sum);
          }
        });
    Path folder = Files.createTempDirectory("socket-run");
    SocketRun run = new SocketRun(scenario, 3, node(), folder, observers);
    String unfit = run.run();
    bench.finish(run.startedAt() + run.passed());
    // On a machine that was too busy the run is void, and says nothing about the program.
    if (unfit == null) {
      for (InvariantChecker judge : bench.judges()) {
        assertEquals(judge.breaches().toString(), "[]");
      }
    }
    assertTrue(answers.get(Answer.SERVED) > 20, answers + " " + unfit);
  }

  @Test
  public void aMachineThatWasTooBusyMakesTheRunVoid() {
    RealTime calm = new RealTime(null);
    RealTime hopeless = new RealTime(null);
    RealTime slow = new RealTime(null);
    for (int i = 0; i < 1000; i++) {
      calm.tick(i % 100 == 0 ? 30 : 0.2);
      hopeless.tick(i == 500 ? 450 : 0);
      slow.tick(i % 20 == 0 ? 30 : 0);
    }
    assertNull(calm.tooBusy());
    assertNotNull(hopeless.tooBusy());
    assertNotNull(slow.tooBusy());
  }

  @Test
  public void aNodeReadsTheSettingsThatVirtualTimeUses() {
    Scenario scenario = Scenario.standard();
    for (int node = 0; node < scenario.nodes; node++) {
      SettingsMapping mapping = new SettingsMapping();
      mapping.put(NodeFile.settings(scenario, node));
      assertEquals(mapping.build(), scenario.settings(node));
    }
  }
}
