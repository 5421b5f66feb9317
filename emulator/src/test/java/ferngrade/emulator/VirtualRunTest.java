package ferngrade.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.emulator.Fault.Kind;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.invariant.InvariantChecker;
import ferngrade.emulator.invariant.InvariantCheckers;
import ferngrade.emulator.policy.Policies;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests complete runs of production nodes and dispatchers in the emulated environment. Guards
 * against nodes that violate an invariant, and against checkers that miss a violation.
 */
class VirtualRunTest {
  private static Scenario smallScenario() {
    Scenario scenario = Scenario.standard();
    scenario.duration = 15_000;
    scenario.workers = 10;
    scenario.nodes = 2;
    return scenario;
  }

  private static Fault fault(Kind kind, double at, double length, double size, double part) {
    return new Fault(kind, at, length, size, part, -1);
  }

  /** Overload with a rolling deploy, so that rejections, drains and cold workers occur. */
  private static Scenario overloadWithDeploy() {
    Scenario scenario = smallScenario();
    scenario.workload.load = 1.3;
    scenario.workload.impatient = 0.05;
    scenario.faults.add(fault(Kind.DEPLOY, 1000, 9000, 0.3, 0.9));
    return scenario;
  }

  private static Scenario scenarioWithEveryFault() {
    Scenario scenario = smallScenario();
    scenario.network.loss = 0.01;
    scenario.network.reset = 0.005;
    scenario.discovery.repeats = 0.3;
    scenario.discovery.stale = 0.3;
    scenario.discovery.weightPeriod = 100;
    double start = 500;
    for (Kind kind : Kind.values()) {
      double size = kind == Kind.DEPLOY ? 0.2 : 2;
      scenario.faults.add(fault(kind, start, 2500, size, 0.5));
      start += 700;
    }
    return scenario;
  }

  private record RunResult(
      InvariantCheckers checkers, String trace, Map<Answer, Integer> answers, VirtualRun run) {}

  private static RunResult run(
      Scenario scenario, long seed, String policy, Mutation mutation, Observer... extraObservers) {
    InvariantCheckers checkers = new InvariantCheckers(scenario);
    TraceHash trace = new TraceHash();
    Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
    List<Observer> observers = new ArrayList<>(checkers.all());
    observers.add(trace);
    observers.add(
        new Observer() {
          @Override
          public void requestEnded(double now, Request request, Answer answer) {
            answers.merge(answer, 1, Integer::sum);
          }
        });
    observers.addAll(List.of(extraObservers));
    VirtualRun run = new VirtualRun(scenario, seed, Policies.byName(policy), mutation, observers);
    run.run();
    checkers.finish(VirtualRun.START_MILLIS + run.elapsedMillis());
    return new RunResult(checkers, trace.hex(), answers, run);
  }

  private static String violationsOf(RunResult result) {
    StringBuilder lines = new StringBuilder();
    for (InvariantChecker checker : result.checkers.all()) {
      checker.violations().stream().limit(3).forEach(found -> lines.append(found).append('\n'));
    }
    return lines.toString();
  }

  @Test
  void sameSeedGivesSameTraceAndOtherSeedGivesOther() {
    RunResult first = run(scenarioWithEveryFault(), 5, "module", Mutation.NONE);
    RunResult second = run(scenarioWithEveryFault(), 5, "module", Mutation.NONE);
    RunResult other = run(scenarioWithEveryFault(), 6, "module", Mutation.NONE);
    assertEquals(first.trace, second.trace);
    assertEquals(first.run.eventCount(), second.run.eventCount());
    assertNotEquals(first.trace, other.trace);
    assertTrue(first.answers.get(Answer.SERVED) > 100, first.answers.toString());
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void moduleKeepsInvariantsDuringEachFault(Kind kind) {
    for (long seed = 1; seed <= 3; seed++) {
      Scenario scenario = smallScenario();
      double size = kind == Kind.DEPLOY ? 0.2 : 2;
      scenario.faults.add(fault(kind, 3000, 6000, size, 0.5));
      RunResult result = run(scenario, seed, "module", Mutation.NONE);
      assertEquals("", violationsOf(result));
      assertTrue(result.answers.get(Answer.SERVED) > 50, result.answers.toString());
    }
  }

  @ParameterizedTest
  @CsvSource({
    "DOUBLE_SEND,no-repeat,cold-start",
    "LOST_ANSWER,one-answer,",
    "LATE_DRAIN,drain,",
    "COLD_PUSH,cold-start,",
    "HELD_REFUSAL,prompt-refusal,one-answer"
  })
  void checkerDetectsInjectedDefect(Mutation mutation, String rule, String alsoBroken) {
    // Duplicate sends may also overload a cold worker, and a delayed rejection may also miss its
    // deadline.
    Scenario scenario = overloadWithDeploy();
    if (mutation == Mutation.COLD_PUSH) {
      scenario.fallMultiple = 1.2;
    }
    long violations = 0;
    for (long seed = 1; seed <= 6; seed++) {
      assertEquals("", violationsOf(run(scenario, seed, "module", Mutation.NONE)));
      RunResult broken = run(scenario, seed, "module", mutation);
      for (InvariantChecker checker : broken.checkers.all()) {
        if (checker.rule().equals(rule)) {
          violations += checker.violationCount();
        } else if (!checker.rule().equals(alsoBroken)) {
          assertEquals(
              0,
              checker.violationCount(),
              mutation + " also violates " + checker.rule() + ": " + violationsOf(broken));
        }
      }
    }
    assertTrue(violations > 0, mutation + " was not detected");
  }

  @Test
  void lossesByTheEmulatorAreNotViolations() {
    Scenario scenario = smallScenario();
    scenario.faults.add(new Fault(Kind.NODE_KILL, 4000, 3000, 1, 0, 0));
    scenario.faults.add(new Fault(Kind.NODE_KILL, 9000, 1000, 1, 0, 1));
    int[] lost = {0};
    RunResult result =
        run(
            scenario,
            2,
            "module",
            Mutation.NONE,
            new Observer() {
              @Override
              public void requestLost(double now, Request request, String why) {
                lost[0]++;
              }
            });
    assertTrue(lost[0] > 0);
    assertEquals(
        lost[0], result.answers.getOrDefault(Answer.BROKEN, 0), "each client must receive BROKEN");
    assertTrue(result.answers.get(Answer.UNREACHED) > 0);
    assertEquals("", violationsOf(result));
  }

  @Test
  void answerAfterRetryIsLateAndNoViolation() {
    Scenario scenario = smallScenario();
    scenario.workload.impatient = 0.5;
    scenario.network.client = 40;
    int[] lateAnswers = {0};
    int[] retries = {0};
    for (long seed = 1; seed <= 6; seed++) {
      RunResult result =
          run(
              scenario,
              seed,
              "module",
              Mutation.NONE,
              new Observer() {
                @Override
                public void lateAnswer(double now, Request request, Answer answer) {
                  lateAnswers[0]++;
                }

                @Override
                public void requestDue(double now, Request request) {
                  retries[0] += request.first == request ? 0 : 1;
                }
              });
      assertEquals("", violationsOf(result));
    }
    assertTrue(lateAnswers[0] > 0, "no answer arrived after its client had given up");
    assertTrue(retries[0] > 0);
  }

  @Test
  void consequencesOfAFaultContinueAfterItsEnd() {
    Scenario scenario = smallScenario();
    // The hang is shorter than the node's timeout for a 202, so that the node times out the hung
    // attempts after the fault has ended.
    scenario.faults.add(new Fault(Kind.HUNG_WORKER, 4000, 900, 1, 0, 1));
    scenario.faults.add(new Fault(Kind.ZONE_CUT, 8000, 600, 1, 0, 0));
    List<Double> timeouts = new ArrayList<>();
    for (long seed = 1; seed <= 6; seed++) {
      RunResult result =
          run(
              scenario,
              seed,
              "module",
              Mutation.NONE,
              new Observer() {
                @Override
                public void attemptEnded(
                    double now,
                    int node,
                    EmulatedWorker worker,
                    Request request,
                    AttemptOutcome outcome) {
                  if (outcome == AttemptOutcome.TIMEOUT) {
                    timeouts.add(now - VirtualRun.START_MILLIS);
                  }
                }
              });
      assertEquals("", violationsOf(result));
    }
    assertTrue(timeouts.stream().anyMatch(at -> at > 4900 && at < 6000), timeouts.toString());
    assertTrue(timeouts.stream().anyMatch(at -> at > 8600), timeouts.toString());
  }

  @Test
  void allPoliciesGetTheSameArrivals() {
    List<List<String>> arrivals = new ArrayList<>();
    for (String policy : Policies.names()) {
      List<String> seen = new ArrayList<>();
      Scenario scenario = smallScenario();
      scenario.duration = 5000;
      run(
          scenario,
          11,
          policy,
          Mutation.NONE,
          new Observer() {
            @Override
            public void requestDue(double now, Request request) {
              if (request.first == request) {
                seen.add(now + " " + request.jobClass + " " + request.tenant + " " + request.work);
              }
            }
          });
      arrivals.add(seen);
    }
    arrivals.forEach(ofPolicy -> assertEquals(arrivals.get(0), ofPolicy));
    assertTrue(arrivals.get(0).size() > 50);
  }
}
