package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import ferngrade.emulator.Fault;
import ferngrade.emulator.Scenario;
import ferngrade.toml.FileException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against experiment files that are misread, or whose errors are reported without the line
 * and key.
 */
class ExperimentReaderTest {
  @TempDir private Path folder;

  private Experiment read(String text) throws FileException {
    return ExperimentReader.read("x.toml", folder, text.replace(';', '\n'));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "duration = '10s';[fleet];nodess = 3 | x.toml:3: fleet.nodess is unknown here",
        "[workload];rate = '-5/s' | x.toml:2: workload.rate is not a rate such as \"52/s\":"
            + " \"-5/s\"",
        "[workload];load = -0.5 | x.toml:2: workload.load must be 0 or more: -0.5",
        "[workload];rate = 52 | x.toml:2: workload.rate is not a rate such as \"52/s\": 52",
        "duration = 10 | x.toml:1: duration is not a time such as \"250ms\" or \"10s\": 10",
        "[network];loss = 1.5 | x.toml:2: network.loss must be between 0 and 1: 1.5",
        "[fleet];workers = 0 | x.toml:2: fleet.workers must be above 0",
        "[fleet];workers = 2.5 | x.toml:2: fleet.workers is not a whole number: 2.5",
        "[[fault]];kind = 'burst';[[fault]];kind = 'bust' | x.toml:4: fault[1].kind is unknown:"
            + " \"bust\"; there are burst, tenant-flood, zone-surge, deploy, shrink, zone-cut,"
            + " slow-worker, hung-worker, worker-lost, worker-crash, zone-lost, node-kill,"
            + " herd-kill, node-pause, discovery-out, discovery-lies",
        "[[fault]];at = '1s' | x.toml:1: fault[0].kind is missing",
        "policies = ['module', 'best'] | x.toml:1: policies contains an unknown policy: \"best\";"
            + " known policies are module, random, round-robin, least-loaded, two-choices,"
            + " all-seeing",
        "seeds = 0 | x.toml:1: seeds must be a list, or a whole number from 1 to 10000",
        "[workload];rate = '5/s';load = 0.5 | x.toml:2: workload.rate and load are both set; only"
            + " one of them may define the arrivals",
        "[sweep];'fleet.kind.5.speed' = [1] | x.toml:2: sweep.fleet.kind.5.speed cannot be resolved"
            + " at 5",
        "[[workload.class]];name = 'a';effect = 'maybe' | x.toml:3: workload.class[0].effect is"
            + " unknown: \"maybe\"; there are safe, keyed, unsafe"
      })
  void reportsErrorInOneLineWithFileLineAndKey(String text, String expected) {
    String actual = assertThrows(FileException.class, () -> read(text)).getMessage();
    assertEquals(expected, actual);
  }

  @Test
  void reportsLineOfMalformedToml() {
    String actual = assertThrows(FileException.class, () -> read("a = 1;b = ;")).getMessage();
    assertEquals("x.toml:2: is not TOML:", actual.substring(0, 22));
    assertEquals(1, actual.lines().count());
  }

  @Test
  void readsUnitsAndFaultsAndAppliesDefaults() throws FileException {
    Experiment experiment =
        read(
            "duration = '1.5min';seeds = [4, 9];[workload];rate = '120/min';period = '500ms';"
                + "[[fault]];kind = 'zone-cut';at = '10s';length = '2s';target = 1");
    Scenario scenario = experiment.points().get(0).scenario();
    assertEquals(90_000, scenario.duration);
    assertEquals(2, scenario.workload.rate);
    assertEquals(500, scenario.workload.period);
    assertEquals(List.of(4L, 9L), experiment.seeds());
    assertEquals(List.of("module"), experiment.policies());
    assertEquals(new Fault(Fault.Kind.ZONE_CUT, 10_000, 2000, 2, 0, 1), scenario.faults.get(0));
    assertEquals(Scenario.standard().workers, scenario.workers);
    assertEquals(3, scenario.kinds.size());
  }

  @Test
  void sweepYieldsEveryCombination() throws FileException {
    Experiment experiment =
        read(
            "[[fault]];kind = 'burst';[sweep];'workload.load' = [0.5, 0.9];"
                + "'fault.0.size' = [2, 3, 4]");
    assertEquals(6, experiment.points().size());
    Experiment.Point lastPoint = experiment.points().get(5);
    assertEquals(Map.of("workload.load", "0.9", "fault.0.size", "4"), lastPoint.parameters());
    assertEquals(0.9, lastPoint.scenario().workload.load);
    assertEquals(4, lastPoint.scenario().faults.get(0).size());
    assertEquals(6, experiment.trials());
    Experiment sweptTogether = read("[sweep];'fleet.nodes, fleet.workers' = [[2, 10], [8, 40]]");
    assertEquals("fleet.nodes, fleet.workers=8 40", sweptTogether.points().get(1).label());
    assertEquals(40, sweptTogether.points().get(1).scenario().workers);
    assertEquals(2, sweptTogether.points().size());
  }

  @Test
  void readsTraceAndReportsLineOfInvalidArrival() throws Exception {
    Files.writeString(
        folder.resolve("t.csv"),
        "# ms,class,tenant,work\n5,plan,tenant-1,300\n7.5,order,tenant-0,900\n");
    Scenario scenario = read("[workload];trace = 't.csv'").points().get(0).scenario();
    assertEquals(2, scenario.workload.trace.size());
    assertEquals(7.5, scenario.workload.trace.get(1).at());
    Files.writeString(folder.resolve("t.csv"), "5,plan,tenant-1,300\n4,plan,tenant-1,300\n");
    String actual =
        assertThrows(FileException.class, () -> read("[workload];trace = 't.csv'")).getMessage();
    assertEquals("t.csv:2: needs a time", actual.substring(0, 21));
  }
}
