package ferngrade.emulator;

import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.emulator.Fault.Kind;
import ferngrade.emulator.policy.Policies;
import ferngrade.golden.GoldenFile;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.TestFactory;

/**
 * Guards against unintended changes of behaviour: compares the traces of complete runs, including
 * the exact bits of each time, with recorded digests. An intended change records them again with
 * {@code -Dgolden.record=traces.txt} and states this in its commit. The digests were recorded on
 * arm64 and hold on every processor: no time in a trace is computed with a function of {@link Math}
 * whose last bit may differ from one processor to the next.
 */
class TraceGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("traces.txt");

  /** A run whose trace is recorded under {@code name}. */
  private record Run(String name, Scenario scenario, long seed, String policy) {}

  private static Scenario smallScenario() {
    Scenario scenario = Scenario.standard();
    scenario.duration = 8_000;
    scenario.workers = 10;
    scenario.nodes = 2;
    return scenario;
  }

  private static void addFault(
      Scenario scenario, Kind kind, double at, double length, double size, double part) {
    scenario.faults.add(new Fault(kind, at, length, size, part, -1));
  }

  private static Scenario overloadWithDeploy() {
    Scenario scenario = smallScenario();
    scenario.workload.load = 1.3;
    scenario.workload.impatient = 0.05;
    addFault(scenario, Kind.DEPLOY, 1_000, 6_000, 0.3, 0.9);
    return scenario;
  }

  /** Workers restart cold and warm up slowly, first all of one zone and then a single one. */
  private static Scenario warmingUp() {
    Scenario scenario = smallScenario();
    scenario.kinds.forEach(kind -> kind.coldMs = 24_000);
    addFault(scenario, Kind.ZONE_LOST, 1_500, 800, 1, 0);
    addFault(scenario, Kind.WORKER_CRASH, 4_000, 500, 1, 0);
    return scenario;
  }

  private static Scenario objects() {
    Scenario scenario = smallScenario();
    scenario.workload.objects = 40;
    return scenario;
  }

  /**
   * Jobs may run again: retries within the scope of their idempotency keys, and hedged requests.
   */
  private static Scenario retries() {
    Scenario scenario = smallScenario();
    scenario.workload.classes.forEach(jobClass -> jobClass.effect = Idempotency.SAFE);
    scenario.workload.classes.get(0).effect = Idempotency.KEYED;
    scenario.workload.classes.get(0).scope = IdempotencyScope.ZONE;
    scenario.network.loss = 0.02;
    scenario.network.reset = 0.02;
    scenario.kinds.forEach(kind -> kind.errorRate = 0.05);
    addFault(scenario, Kind.HUNG_WORKER, 2_000, 3_000, 1, 0);
    addFault(scenario, Kind.SLOW_WORKER, 3_000, 3_000, 4, 0);
    return scenario;
  }

  private static Scenario retriesWithoutHedging() {
    Scenario scenario = retries();
    scenario.secondCopies = false;
    return scenario;
  }

  private static Scenario weightsIncludingLoad() {
    Scenario scenario = smallScenario();
    scenario.discovery.weightPeriod = 100;
    scenario.discovery.repeats = 0.3;
    scenario.discovery.stale = 0.3;
    scenario.kinds.forEach(kind -> kind.reportsWithAnswers = true);
    addFault(scenario, Kind.TENANT_FLOOD, 2_000, 3_000, 4, 0);
    return scenario;
  }

  private static Scenario manyNodes() {
    Scenario scenario = smallScenario();
    scenario.nodes = 6;
    scenario.workers = 18;
    scenario.workload.load = 1.1;
    addFault(scenario, Kind.NODE_KILL, 2_000, 1_500, 1, 0);
    addFault(scenario, Kind.ZONE_CUT, 4_000, 1_500, 1, 0);
    addFault(scenario, Kind.BURST, 5_000, 1_500, 2, 0);
    return scenario;
  }

  private static Scenario everyFault() {
    Scenario scenario = smallScenario();
    scenario.duration = 14_000;
    scenario.network.loss = 0.01;
    scenario.network.reset = 0.005;
    double start = 500;
    for (Kind kind : Kind.values()) {
      addFault(scenario, kind, start, 2_500, kind == Kind.DEPLOY ? 0.2 : 2, 0.5);
      start += 700;
    }
    return scenario;
  }

  private static List<Run> runs() {
    List<Run> runs = new ArrayList<>();
    runs.add(new Run("steady", smallScenario(), 1, "module"));
    runs.add(new Run("overload-with-deploy", overloadWithDeploy(), 2, "module"));
    runs.add(new Run("warming-up", warmingUp(), 3, "module"));
    runs.add(new Run("objects", objects(), 4, "module"));
    runs.add(new Run("retries-and-hedging", retries(), 5, "module"));
    runs.add(new Run("retries", retriesWithoutHedging(), 6, "module"));
    runs.add(new Run("live-weights", weightsIncludingLoad(), 7, "module"));
    runs.add(new Run("many-nodes", manyNodes(), 8, "module"));
    runs.add(new Run("every-fault", everyFault(), 9, "module"));
    runs.add(new Run("every-fault-other-seed", everyFault(), 10, "module"));
    for (String policy : Policies.names()) {
      if (!policy.equals("module")) {
        runs.add(new Run("policy-" + policy, overloadWithDeploy(), 11, policy));
      }
    }
    return runs;
  }

  @TestFactory
  List<DynamicTest> tracesMatchRecordedDigests() {
    return runs().stream()
        .map(run -> DynamicTest.dynamicTest(run.name(), () -> verify(run)))
        .toList();
  }

  private static void verify(Run run) {
    TraceHash trace = new TraceHash();
    new VirtualRun(
            run.scenario(),
            run.seed(),
            Policies.byName(run.policy()),
            Mutation.NONE,
            List.of(trace))
        .run();
    long events = trace.eventCount();
    GOLDEN.verify(run.name(), events + " " + trace.hex());
  }
}
