package ferngrade.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Dispatcher.Actions;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** The node between a scripted module and scripted workers, on a clock that the test sets. */
public class RequestCoordinatorTest {
  private final List<String> heard = new ArrayList<>();
  private final List<String> answers = new ArrayList<>();
  private final List<String> given = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<WorkerTransport.Listener> sent = new ArrayList<>();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private Runnable unread = () -> {};
  private double now;
  private Timers timers;
  private Actions actions;
  private RequestCoordinator node;

  @BeforeMethod
  public void start() {
    List.of(heard, answers, given, sent, log).forEach(List::clear);
    tasks.clear();
    unread = () -> {};
    now = 1000;
    Clock clock = () -> now;
    timers = new Timers(clock, (millis, run) -> {});
    node =
        new RequestCoordinator(
            new RequestCoordinator.Surroundings(
                clock,
                timers,
                tasks::add,
                new ScriptedWorkers(),
                (peer, message) -> {},
                new RateLimitedLog(clock, log::add)),
            new RequestCoordinator.RequestLimits(2, 100, 700),
            asked -> {
              actions = asked;
              return new Recorder();
            });
    node.members(
        EndpointListUpdate.WHOLE,
        List.of(member("s-1", 1, WorkerState.READY, 0), member("s-2", 2, WorkerState.READY, 0)));
    run();
  }

  @Test
  public void callBackBeforeThe202ServesAndItsRepeatsDoNothing() {
    out("a", 1);
    say("a", "s-1", WorkerCallback.State.DONE);
    say("a", "s-1", WorkerCallback.State.DONE);
    say("a", "s-1", WorkerCallback.State.LOST);
    assertEquals(answers, List.of("served r"));
    assertEquals(heard, List.of("arrived a", "ended a/0 OK over"));
    assertEquals(node.open(), 0);
  }

  @Test
  public void newsOfUnknownJobsAndFromOtherWorkersIsIgnored() {
    out("a", 1);
    say("b", "s-1", WorkerCallback.State.DONE);
    say("a", "s-2", WorkerCallback.State.DONE);
    say("a", "s-9", WorkerCallback.State.STARTED);
    assertEquals(heard, List.of("arrived a"));
    assertEquals(answers, List.of());
  }

  @Test
  public void newsFromAnEarlierAttemptsWorkerDoesNotEndTheNewOne() {
    out("a", 1);
    say("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 2);
    sent.get(1).written();
    say("a", "s-1", WorkerCallback.State.RETURNED);
    assertEquals(heard, List.of("arrived a", "ended a/0 FULL"));
    say("a", "s-2", WorkerCallback.State.DONE);
    assertEquals(answers, List.of("served r"));
  }

  @Test
  public void workerThatCalledBackDoesNotGetTheRequestAgain() {
    out("a", 1);
    say("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 1);
    assertEquals(sent.size(), 1);
    assertEquals(heard.get(2), "ended a/1 NEVER_SENT");
  }

  @Test
  public void workerHoldsOneAttemptOfARequestAtATime() {
    out("a", 1);
    send("a", 1);
    assertEquals(sent.size(), 1);
    assertEquals(heard.get(1), "ended a/1 NEVER_SENT");
  }

  /**
   * Its connection broke, or was closed by us: whether the worker runs the job yet, nobody knows.
   */
  @Test
  public void workerThatMayStillRunAnAttemptDoesNotGetTheRequestAgain() {
    request("a", 21_000);
    send("a", 1);
    sent.get(0).written();
    sent.get(0).ended(AttemptOutcome.RESET, LoadReport.NONE);
    run();
    send("a", 1);
    assertEquals(sent.size(), 1);
    send("a", 2);
    sent.get(1).written();
    actions.cancel("a", 2);
    turn();
    send("a", 2);
    assertEquals(sent.size(), 2);
    request("b", 21_000);
    send("b", 1);
    sent.get(2).ended(AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
    run();
    send("b", 1);
    assertEquals(sent.size(), 4, "what was never written bars nobody");
  }

  @Test
  public void clientThatGoesBetweenTwoAttemptsOrWhileItWaitsHasNoneBegun() {
    out("a", 1);
    node.clientGone("a");
    say("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 2);
    request("b", 21_000);
    node.clientGone("b");
    send("b", 2);
    assertEquals(sent.size(), 1);
    assertEquals(answers, List.of());
    assertEquals(
        heard,
        List.of("arrived a", "abandoned a", "ended a/0 FULL over", "arrived b", "abandoned b"));
  }

  /**
   * A worker begins with the last byte: an attempt that is dialled, or written in part, must not
   * come to that.
   */
  @Test
  public void clientThatGoesBeforeAnAttemptIsWhollyWrittenHasItGivenUp() {
    out("a", 1);
    send("a", 2);
    node.clientGone("a");
    run();
    assertEquals(given, List.of("a"), "the hedged request alone");
    assertEquals(heard, List.of("arrived a", "abandoned a", "ended a/1 NEVER_SENT over"));
  }

  @Test
  public void callBackAfterTheResetOfItsAttemptChangesNothing() {
    out("a", 1);
    sent.get(0).ended(AttemptOutcome.RESET, LoadReport.NONE);
    run();
    say("a", "s-1", WorkerCallback.State.DONE);
    say("a", "s-1", WorkerCallback.State.FAILED);
    assertEquals(heard, List.of("arrived a", "ended a/0 RESET"));
    assertEquals(answers, List.of());
  }

  @Test
  public void secondCopyStillOnItsWayBeginsNoMoreOnceTheFirstIsServed() {
    out("a", 1);
    send("a", 2);
    assertTrue(sent.get(1).mayStart());
    say("a", "s-1", WorkerCallback.State.DONE);
    assertFalse(sent.get(1).mayStart());
  }

  @Test
  public void timeOutGivesUpAndSaysWhetherItMayHaveRun() {
    out("a", 1);
    request("b", 1100);
    send("b", 2);
    pass(100);
    assertEquals(given, List.of("a", "b"));
    assertEquals(heard.subList(2, 4), List.of("ended a/0 TIMEOUT", "ended b/0 CONNECT_FAILED"));
  }

  @Test
  public void jobThatItsWorkerDoesNotTakeIsGivenUpWellBeforeItsEnd() {
    for (String id : List.of("hangs", "taken")) {
      request(id, 21_000);
      send(id, 1);
      sent.get(sent.size() - 1).written();
    }
    sent.get(1).taken();
    pass(1000);
    assertEquals(given, List.of("hangs"));
    assertEquals(heard.subList(2, heard.size()), List.of("ended hangs/0 TIMEOUT"));
  }

  /** Fails where an answer that came while the loop was held up is not looked at. */
  @Test
  public void jobIsNotGivenUpWhileItsWorkersAnswerLiesUnread() {
    for (String id : List.of("taken", "rejected")) {
      request(id, 21_000);
      send(id, 1);
      sent.get(sent.size() - 1).written();
      now += 1;
    }
    unread = () -> sent.get(0).taken();
    pass(998);
    unread = () -> sent.get(1).ended(AttemptOutcome.FULL, LoadReport.NONE);
    pass(1);
    assertEquals(given, List.of());
    assertEquals(heard.subList(2, heard.size()), List.of("ended rejected/0 FULL"));
  }

  /** Fails where an attempt's timeout overlooks a rejection, after which a retry is harmless. */
  @Test
  public void attemptDoesNotTimeOutWhileItsWorkersAnswerLiesUnread() {
    out("a", 1);
    unread = () -> sent.get(0).ended(AttemptOutcome.FULL, LoadReport.NONE);
    pass(100);
    assertEquals(given, List.of());
    assertEquals(heard, List.of("arrived a", "ended a/0 FULL"));
  }

  /** Fails where a shutdown takes a job for one that may have run beside its unread rejection. */
  @Test
  public void requestCutShortIsRefusedWhileItsWorkersRejectionLiesUnread() {
    request("a", 21_000);
    send("a", 1);
    sent.get(0).written();
    node.answerAllBy(now + 50);
    unread = () -> sent.get(0).ended(AttemptOutcome.FULL, LoadReport.NONE);
    pass(50);
    assertEquals(answers, List.of("refused 0.0"));
  }

  @Test
  public void jobThatWasCalledBackAboutCountsAsTakenWithoutTheWorkersWord() {
    request("a", 21_000);
    send("a", 1);
    sent.get(0).written();
    say("a", "s-1", WorkerCallback.State.STARTED);
    pass(1000);
    assertEquals(given, List.of());
  }

  @Test
  public void cancelGivesUpOnceAndTheAttemptEndsOnce() {
    out("a", 1);
    actions.cancel("a", 0);
    actions.cancel("a", 0);
    turn();
    say("a", "s-1", WorkerCallback.State.DONE);
    assertEquals(given, List.of("a"));
    assertEquals(heard, List.of("arrived a", "ended a/0 CANCELLED"));
  }

  @Test
  public void clientThatGoesAwayGetsNoAnswerAndItsAttemptIsStillReported() {
    out("a", 1);
    node.clientGone("a");
    run();
    say("a", "s-1", WorkerCallback.State.DONE);
    assertEquals(answers, List.of());
    assertEquals(heard, List.of("arrived a", "abandoned a", "ended a/0 OK over"));
    assertEquals(node.open(), 0);
  }

  @Test
  public void finalAnswerIsGivenOnceAndAtOnce() {
    request("a", 5000);
    actions.refuse("a", 500);
    actions.fail("a");
    turn();
    assertEquals(answers, List.of("refused 500.0"));
    assertEquals(node.open(), 0);
  }

  @Test
  public void idOfARequestThatEndedIsNotTakenAgainUntilOthersHavePushedItOut() {
    for (String id : List.of("a", "b", "c")) {
      request(id, 5000);
      actions.refuse(id, 0);
      turn();
      assertFalse(node.request(job(id, 5000), call(id), new Answers()), id);
    }
    assertEquals(answers, List.of("refused 0.0", "refused 0.0", "refused 0.0"));
    // The memory holds as many ids as the table, two here.
    request("a", 5000);
  }

  @Test
  public void requestThatTheModuleForgetsFailsAtItsEnd() {
    request("a", 1100);
    pass(100);
    assertEquals(answers, List.of());
    pass(10);
    assertEquals(answers, List.of("failed"));
    assertEquals(node.open(), 0);
  }

  @Test
  public void sendWaitingOnAConnectStopsWhenItsWorkerDrainsRestartsOrMoves() {
    out("a", 1);
    assertTrue(sent.get(0).mayStart());
    Endpoint ready = member("s-1", 1, WorkerState.READY, 0);
    for (Endpoint changed :
        List.of(
            member("s-1", 1, WorkerState.DRAINING, 0),
            member("s-1", 1, WorkerState.GONE, 0),
            member("s-1", 1, WorkerState.READY, 900),
            new Endpoint("s-1", new InetSocketAddress("127.0.0.9", 9), ready.worker()))) {
      node.members(EndpointListUpdate.CHANGES, List.of(changed));
      assertFalse(sent.get(0).mayStart(), changed.toString());
      node.members(EndpointListUpdate.CHANGES, List.of(ready));
      assertTrue(sent.get(0).mayStart());
    }
    node.members(EndpointListUpdate.WHOLE, List.of(member("s-2", 2, WorkerState.READY, 0)));
    assertFalse(sent.get(0).mayStart());
  }

  @Test
  public void fullTableRefusesWithoutTheModuleAndAnIdInUseIsNotTaken() {
    request("a", 5000);
    request("b", 5000);
    request("c", 5000);
    assertEquals(answers, List.of("refused 700.0"));
    assertFalse(node.request(job("a", 5000), call("a"), new Answers()));
    assertEquals(heard, List.of("arrived a", "arrived b"));
  }

  private void out(String id, long worker) {
    request(id, 1100);
    send(id, worker);
    sent.get(sent.size() - 1).written();
  }

  private void request(String id, double due) {
    assertTrue(node.request(job(id, due), call(id), new Answers()));
    run();
  }

  private void send(String id, long worker) {
    actions.send(id, worker, 0);
    turn();
  }

  private void say(String id, String from, WorkerCallback.State state) {
    node.callback(new WorkerCallback(id, from, state, 0, "r", LoadReport.NONE));
    run();
  }

  /** What the module asks for goes out with the next turn; any event brings one about. */
  /** States of an attempt at the moment in which the loop is held up. */
  private enum HeldUpAt {
    NOT_SENT,
    SENT,
    WRITTEN,
    STARTED
  }

  @DataProvider
  public Object[][] holdUps() {
    List<Object[]> cases = new ArrayList<>();
    for (HeldUpAt state : HeldUpAt.values()) {
      for (double millis : new double[] {200, 400, 600, 800, 1000, 1500}) {
        cases.add(new Object[] {state, millis});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /**
   * Fails where a loop held up over a deadline leaves a request unanswered, or answers it twice.
   */
  @Test(dataProvider = "holdUps")
  public void requestIsAnsweredOnceAtTheFirstTurnBehindAHoldUp(HeldUpAt state, double millis) {
    request("a", now + 5_000);
    if (state != HeldUpAt.NOT_SENT) {
      send("a", 1);
    }
    if (state.compareTo(HeldUpAt.WRITTEN) >= 0) {
      sent.get(0).written();
    }
    if (state == HeldUpAt.STARTED) {
      say("a", "s-1", WorkerCallback.State.STARTED);
    }
    pass(4_990);
    assertEquals(answers, List.of());
    pass(RequestCoordinator.GUARD + millis);
    assertEquals(answers, List.of("failed"));
    say("a", "s-1", WorkerCallback.State.DONE);
    pass(10_000);
    assertEquals(answers, List.of("failed"));
    assertEquals(node.open(), 0);
  }

  /** Fails where answers that are hardly late crowd the traces of others out of the log. */
  @Test
  public void onlyAnswersThatAreLateByAFifthOfTheSlackAreTraced() {
    for (double late : new double[] {90, 110}) {
      request("a" + late, now + 5_000);
      now += 5_000 + late;
      actions.refuse("a" + late, 0);
      turn();
    }
    List<String> traced = log.stream().filter(line -> line.contains("answered-late")).toList();
    assertEquals(traced.size(), 1, log.toString());
    assertTrue(traced.get(0).contains("id=a110"), traced.get(0));
  }

  private void turn() {
    node.heard(0, new byte[0]);
    run();
  }

  private void pass(double millis) {
    now += millis;
    timers.run();
    run();
  }

  private void run() {
    while (!tasks.isEmpty()) {
      tasks.poll().run();
    }
  }

  private static Job job(String id, double due) {
    return new Job(id, 0, 0, due, 0, 1, 0, 0);
  }

  private static JobRequest call(String id) {
    return new JobRequest(id, "POST", "/api", null, new byte[0]);
  }

  private static Endpoint member(String name, long id, WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), (int) id),
        new Worker(id, state, 0, 0, 0, startedAt, 1));
  }

  private final class Answers implements ResponseHandler {
    @Override
    public void served(String result) {
      answers.add("served " + result);
    }

    @Override
    public void refused(double retryAfter) {
      answers.add("refused " + retryAfter);
    }

    @Override
    public void failed() {
      answers.add("failed");
    }
  }

  private final class ScriptedWorkers implements WorkerTransport {
    @Override
    public AttemptHandle send(
        JobRequest call, InetSocketAddress worker, double patience, Listener listener) {
      sent.add(listener);
      return new AttemptHandle() {
        @Override
        public void giveUp(Runnable whenNotified) {
          given.add(call.id());
          whenNotified.run();
        }

        @Override
        public void readPending() {
          unread.run();
        }
      };
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }
  }

  private final class Recorder implements Dispatcher {
    @Override
    public void arrived(double time, Job job) {
      heard.add("arrived " + job.id());
    }

    @Override
    public void started(double time, String id, int attempt) {
      heard.add("started " + id + "/" + attempt);
    }

    @Override
    public void progressed(double time, String id, int attempt, double share) {}

    @Override
    public void streaming(double time, String id, int attempt) {}

    @Override
    public void ended(
        double time,
        String id,
        int attempt,
        AttemptOutcome outcome,
        double took,
        boolean over,
        LoadReport report) {
      heard.add("ended " + id + "/" + attempt + " " + outcome + (over ? " over" : ""));
    }

    @Override
    public void abandoned(double time, String id) {
      heard.add("abandoned " + id);
    }

    @Override
    public void members(double time, EndpointListUpdate news, List<Worker> workers) {}

    @Override
    public void listFailed(double time) {}

    @Override
    public void checked(
        double time, long worker, AttemptOutcome outcome, double took, LoadReport report) {}

    @Override
    public void heard(double time, int from, byte[] message) {}

    @Override
    public void timer(double time, long token) {}
  }
}
