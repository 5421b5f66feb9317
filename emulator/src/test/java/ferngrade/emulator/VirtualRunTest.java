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

/** Whole runs: the program's own node and decisions in the emulated surroundings. */
class VirtualRunTest {
  private static Scenario small() {
    Scenario scenario = Scenario.standard();
    scenario.duration = 15_000;
    scenario.workers = 10;
    scenario.nodes = 2;
    return scenario;
  }

  private static Fault fault(Kind kind, double at, double length, double size, double part) {
    return new Fault(kind, at, length, size, part, -1);
  }

  /** Overload with a rolling deploy: there is something to refuse, to drain and to push over. */
  private static Scenario hard() {
    Scenario scenario = small();
    scenario.workload.load = 1.3;
    scenario.workload.impatient = 0.05;
    scenario.faults.add(fault(Kind.DEPLOY, 1000, 9000, 0.3, 0.9));
    return scenario;
  }

  private static Scenario everything() {
    Scenario scenario = small();
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

  private record Played(
      InvariantCheckers bench, String trace, Map<Answer, Integer> answers, VirtualRun run) {}

  private static Played play(
      Scenario scenario, long seed, String policy, Mutation mutation, Observer... more) {
    InvariantCheckers bench = new InvariantCheckers(scenario);
    TraceHash trace = new TraceHash();
    Map<Answer, Integer> answers = new EnumMap<>(Answer.class);
    List<Observer> observers = new ArrayList<>(bench.judges());
    observers.add(trace);
    observers.add(
        new Observer() {
          @Override
          public void ended(double now, Request request, Answer answer) {
            answers.merge(answer, 1, Integer::sum);
          }
        });
    observers.addAll(List.of(more));
    VirtualRun run = new VirtualRun(scenario, seed, Policies.named(policy), mutation, observers);
    run.run();
    bench.finish(VirtualRun.START + run.passed());
    return new Played(bench, trace.hex(), answers, run);
  }

  private static String breaches(Played played) {
    StringBuilder all = new StringBuilder();
    for (InvariantChecker judge : played.bench.judges()) {
      judge.breaches().stream().limit(3).forEach(each -> all.append(each).append('\n'));
    }
    return all.toString();
  }

  @Test
  void theSameSeedGivesTheSameTraceAndAnotherSeedAnother() {
    Played once = play(everything(), 5, "module", Mutation.NONE);
    Played again = play(everything(), 5, "module", Mutation.NONE);
    Played other = play(everything(), 6, "module", Mutation.NONE);
    assertEquals(once.trace, again.trace);
    assertEquals(once.run.events(), again.run.events());
    assertNotEquals(once.trace, other.trace);
    assertTrue(once.answers.get(Answer.SERVED) > 100, once.answers.toString());
  }

  @ParameterizedTest
  @EnumSource(Kind.class)
  void theModuleKeepsTheRulesThroughEachFault(Kind kind) {
    for (long seed = 1; seed <= 3; seed++) {
      Scenario scenario = small();
      double size = kind == Kind.DEPLOY ? 0.2 : 2;
      scenario.faults.add(fault(kind, 3000, 6000, size, 0.5));
      Played played = play(scenario, seed, "module", Mutation.NONE);
      assertEquals("", breaches(played));
      assertTrue(played.answers.get(Answer.SERVED) > 50, played.answers.toString());
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
  void aJudgeCatchesAProgramThatIsBrokenOnPurpose(
      Mutation mutation, String rule, String alsoBroken) {
    // Work sent twice may push a cold worker over as well, and a refusal that is held back miss its
    // deadline.
    Scenario scenario = hard();
    if (mutation == Mutation.COLD_PUSH) {
      scenario.fallMultiple = 1.2;
    }
    long caught = 0;
    for (long seed = 1; seed <= 6; seed++) {
      assertEquals("", breaches(play(scenario, seed, "module", Mutation.NONE)));
      Played broken = play(scenario, seed, "module", mutation);
      for (InvariantChecker judge : broken.bench.judges()) {
        if (judge.rule().equals(rule)) {
          caught += judge.count();
        } else if (!judge.rule().equals(alsoBroken)) {
          assertEquals(
              0,
              judge.count(),
              mutation + " was taken for " + judge.rule() + ": " + breaches(broken));
        }
      }
    }
    assertTrue(caught > 0, mutation + " went unseen");
  }

  @Test
  void theEmulatorsOwnLossesAreNotBlamedOnTheProgram() {
    Scenario scenario = small();
    scenario.faults.add(new Fault(Kind.NODE_KILL, 4000, 3000, 1, 0, 0));
    scenario.faults.add(new Fault(Kind.NODE_KILL, 9000, 1000, 1, 0, 1));
    int[] lost = {0};
    Played played =
        play(
            scenario,
            2,
            "module",
            Mutation.NONE,
            new Observer() {
              @Override
              public void lost(double now, Request request, String why) {
                lost[0]++;
              }
            });
    assertTrue(lost[0] > 0);
    assertEquals(lost[0], played.answers.getOrDefault(Answer.BROKEN, 0), "each client notices");
    assertTrue(played.answers.get(Answer.UNREACHED) > 0);
    assertEquals("", breaches(played));
  }

  @Test
  void anAnswerThatComesAfterItsRetryIsAStrayAndCountsForNothing() {
    Scenario scenario = small();
    scenario.workload.impatient = 0.5;
    scenario.network.client = 40;
    int[] strays = {0};
    int[] retries = {0};
    for (long seed = 1; seed <= 6; seed++) {
      Played played =
          play(
              scenario,
              seed,
              "module",
              Mutation.NONE,
              new Observer() {
                @Override
                public void stray(double now, Request request, Answer answer) {
                  strays[0]++;
                }

                @Override
                public void due(double now, Request request) {
                  retries[0] += request.first == request ? 0 : 1;
                }
              });
      assertEquals("", breaches(played));
    }
    assertTrue(strays[0] > 0, "no answer crossed its client's leaving");
    assertTrue(retries[0] > 0);
  }

  @Test
  void whatAFaultHasSetInMotionGoesOnAfterItsEnd() {
    Scenario scenario = small();
    // Shorter than the node waits for a 202: whatever it swallowed is noticed after its end.
    scenario.faults.add(new Fault(Kind.HUNG_WORKER, 4000, 900, 1, 0, 1));
    scenario.faults.add(new Fault(Kind.ZONE_CUT, 8000, 600, 1, 0, 0));
    List<Double> timeouts = new ArrayList<>();
    for (long seed = 1; seed <= 6; seed++) {
      Played played =
          play(
              scenario,
              seed,
              "module",
              Mutation.NONE,
              new Observer() {
                @Override
                public void attemptOver(
                    double now,
                    int node,
                    EmulatedWorker worker,
                    Request request,
                    AttemptOutcome outcome) {
                  if (outcome == AttemptOutcome.TIMEOUT) {
                    timeouts.add(now - VirtualRun.START);
                  }
                }
              });
      assertEquals("", breaches(played));
    }
    assertTrue(timeouts.stream().anyMatch(at -> at > 4900 && at < 6000), timeouts.toString());
    assertTrue(timeouts.stream().anyMatch(at -> at > 8600), timeouts.toString());
  }

  @Test
  void policiesMeetTheSameArrivals() {
    List<List<String>> arrivals = new ArrayList<>();
    for (String policy : Policies.names()) {
      List<String> seen = new ArrayList<>();
      Scenario scenario = small();
      scenario.duration = 5000;
      play(
          scenario,
          11,
          policy,
          Mutation.NONE,
          new Observer() {
            @Override
            public void due(double now, Request request) {
              if (request.first == request) {
                seen.add(now + " " + request.jobClass + " " + request.tenant + " " + request.work);
              }
            }
          });
      arrivals.add(seen);
    }
    arrivals.forEach(each -> assertEquals(arrivals.get(0), each));
    assertTrue(arrivals.get(0).size() > 50);
  }
}
