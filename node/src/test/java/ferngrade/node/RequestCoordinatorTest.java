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

/**
 * Runs the coordinator between a scripted dispatcher and scripted workers, on a clock that the test
 * sets.
 */
public class RequestCoordinatorTest {
  private final List<String> dispatcherEvents = new ArrayList<>();
  private final List<String> answers = new ArrayList<>();
  private final List<String> cancelledIds = new ArrayList<>();
  private final List<String> log = new ArrayList<>();
  private final List<WorkerTransport.Listener> attemptListeners = new ArrayList<>();
  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private Runnable pendingInput = () -> {};
  private double now;
  private Timers timers;
  private Actions actions;
  private RequestCoordinator coordinator;

  @BeforeMethod
  public void start() {
    List.of(dispatcherEvents, answers, cancelledIds, attemptListeners, log).forEach(List::clear);
    tasks.clear();
    pendingInput = () -> {};
    now = 1000;
    Clock clock = () -> now;
    timers = new Timers(clock, (millis, run) -> {});
    coordinator =
        new RequestCoordinator(
            new RequestCoordinator.Dependencies(
                clock,
                timers,
                tasks::add,
                new ScriptedWorkers(),
                (peer, message) -> {},
                new RateLimitedLog(clock, log::add)),
            new RequestCoordinator.RequestLimits(2, MemoryBudget.unlimited(), 700),
            dispatcherActions -> {
              actions = dispatcherActions;
              return new RecordingDispatcher();
            });
    coordinator.updateEndpoints(
        EndpointListUpdate.WHOLE,
        List.of(
            endpoint("s-1", 1, WorkerState.READY, 0), endpoint("s-2", 2, WorkerState.READY, 0)));
    run();
  }

  @Test
  public void callbackBeforeThe202ServesAndItsRepetitionsAreIgnored() {
    sendWritten("a", 1);
    callBack("a", "s-1", WorkerCallback.State.DONE);
    callBack("a", "s-1", WorkerCallback.State.DONE);
    callBack("a", "s-1", WorkerCallback.State.LOST);
    assertEquals(answers, List.of("served r"));
    assertEquals(dispatcherEvents, List.of("arrived a", "ended a/0 OK over"));
    assertEquals(coordinator.openRequestCount(), 0);
  }

  @Test
  public void ignoresCallbacksOfUnknownJobsAndFromOtherWorkers() {
    sendWritten("a", 1);
    callBack("b", "s-1", WorkerCallback.State.DONE);
    callBack("a", "s-2", WorkerCallback.State.DONE);
    callBack("a", "s-9", WorkerCallback.State.STARTED);
    assertEquals(dispatcherEvents, List.of("arrived a"));
    assertEquals(answers, List.of());
  }

  @Test
  public void callbackFromWorkerOfEarlierAttemptDoesNotEndNewAttempt() {
    sendWritten("a", 1);
    callBack("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 2);
    attemptListeners.get(1).written();
    callBack("a", "s-1", WorkerCallback.State.RETURNED);
    assertEquals(dispatcherEvents, List.of("arrived a", "ended a/0 FULL"));
    callBack("a", "s-2", WorkerCallback.State.DONE);
    assertEquals(answers, List.of("served r"));
  }

  @Test
  public void doesNotResendRequestToWorkerThatCalledBack() {
    sendWritten("a", 1);
    callBack("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 1);
    assertEquals(attemptListeners.size(), 1);
    assertEquals(dispatcherEvents.get(2), "ended a/1 NEVER_SENT");
  }

  @Test
  public void workerRunsAtMostOneAttemptOfARequest() {
    sendWritten("a", 1);
    send("a", 1);
    assertEquals(attemptListeners.size(), 1);
    assertEquals(dispatcherEvents.get(1), "ended a/1 NEVER_SENT");
  }

  /**
   * The connection broke or the node closed it, so it is unknown whether the worker still runs the
   * job.
   */
  @Test
  public void doesNotResendRequestToWorkerThatMayStillRunIt() {
    request("a", 21_000);
    send("a", 1);
    attemptListeners.get(0).written();
    attemptListeners.get(0).ended(AttemptOutcome.RESET, LoadReport.NONE);
    run();
    send("a", 1);
    assertEquals(attemptListeners.size(), 1);
    send("a", 2);
    attemptListeners.get(1).written();
    actions.cancel("a", 2);
    runTurn();
    send("a", 2);
    assertEquals(attemptListeners.size(), 2);
    request("b", 21_000);
    send("b", 1);
    attemptListeners.get(2).ended(AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
    run();
    send("b", 1);
    assertEquals(
        attemptListeners.size(),
        4,
        "an attempt that was never written must not exclude its worker");
  }

  @Test
  public void startsNoAttemptAfterClientDisconnected() {
    sendWritten("a", 1);
    coordinator.clientDisconnected("a");
    callBack("a", "s-1", WorkerCallback.State.RETURNED);
    send("a", 2);
    request("b", 21_000);
    coordinator.clientDisconnected("b");
    send("b", 2);
    assertEquals(attemptListeners.size(), 1);
    assertEquals(answers, List.of());
    assertEquals(
        dispatcherEvents,
        List.of("arrived a", "abandoned a", "ended a/0 FULL over", "arrived b", "abandoned b"));
  }

  /**
   * Fails if an attempt that is connecting or partly written is still completed: a worker starts a
   * job once it has received the last byte.
   */
  @Test
  public void cancelsPartlyWrittenAttemptWhenClientDisconnects() {
    sendWritten("a", 1);
    send("a", 2);
    coordinator.clientDisconnected("a");
    run();
    assertEquals(
        cancelledIds, List.of("a"), "only the attempt that is not fully written must be cancelled");
    assertEquals(
        dispatcherEvents, List.of("arrived a", "abandoned a", "ended a/1 NEVER_SENT over"));
  }

  @Test
  public void ignoresCallbackAfterResetOfItsAttempt() {
    sendWritten("a", 1);
    attemptListeners.get(0).ended(AttemptOutcome.RESET, LoadReport.NONE);
    run();
    callBack("a", "s-1", WorkerCallback.State.DONE);
    callBack("a", "s-1", WorkerCallback.State.FAILED);
    assertEquals(dispatcherEvents, List.of("arrived a", "ended a/0 RESET"));
    assertEquals(answers, List.of());
  }

  @Test
  public void withholdsHedgedAttemptOnceFirstIsServed() {
    sendWritten("a", 1);
    send("a", 2);
    assertTrue(attemptListeners.get(1).mayStart());
    callBack("a", "s-1", WorkerCallback.State.DONE);
    assertFalse(attemptListeners.get(1).mayStart());
  }

  @Test
  public void timeoutCancelsAttemptAndReportsWhetherItMayHaveRun() {
    sendWritten("a", 1);
    request("b", 1100);
    send("b", 2);
    advance(100);
    assertEquals(cancelledIds, List.of("a", "b"));
    assertEquals(
        dispatcherEvents.subList(2, 4), List.of("ended a/0 TIMEOUT", "ended b/0 CONNECT_FAILED"));
  }

  @Test
  public void cancelsJobThatWorkerDoesNotAcceptBeforeItsDeadline() {
    for (String id : List.of("hangs", "accepted")) {
      request(id, 21_000);
      send(id, 1);
      attemptListeners.get(attemptListeners.size() - 1).written();
    }
    attemptListeners.get(1).accepted();
    advance(1000);
    assertEquals(cancelledIds, List.of("hangs"));
    assertEquals(
        dispatcherEvents.subList(2, dispatcherEvents.size()), List.of("ended hangs/0 TIMEOUT"));
  }

  /** Fails if a response that arrived while the event loop was held up is not read first. */
  @Test
  public void doesNotCancelJobWhileWorkersResponseIsUnread() {
    for (String id : List.of("accepted", "rejected")) {
      request(id, 21_000);
      send(id, 1);
      attemptListeners.get(attemptListeners.size() - 1).written();
      now += 1;
    }
    pendingInput = () -> attemptListeners.get(0).accepted();
    advance(998);
    pendingInput = () -> attemptListeners.get(1).ended(AttemptOutcome.FULL, LoadReport.NONE);
    advance(1);
    assertEquals(cancelledIds, List.of());
    assertEquals(
        dispatcherEvents.subList(2, dispatcherEvents.size()), List.of("ended rejected/0 FULL"));
  }

  /**
   * Fails if an attempt times out although a rejection by the worker has arrived and is not read
   * yet. After a rejection, a retry is safe.
   */
  @Test
  public void attemptDoesNotTimeOutWhileWorkersResponseIsUnread() {
    sendWritten("a", 1);
    pendingInput = () -> attemptListeners.get(0).ended(AttemptOutcome.FULL, LoadReport.NONE);
    advance(100);
    assertEquals(cancelledIds, List.of());
    assertEquals(dispatcherEvents, List.of("arrived a", "ended a/0 FULL"));
  }

  /**
   * Fails if a shutdown ignores an unread rejection and treats the job as one that may have run.
   */
  @Test
  public void shutdownRejectsRequestWhoseWorkersRejectionIsUnread() {
    request("a", 21_000);
    send("a", 1);
    attemptListeners.get(0).written();
    coordinator.answerAllBy(now + 50);
    pendingInput = () -> attemptListeners.get(0).ended(AttemptOutcome.FULL, LoadReport.NONE);
    advance(50);
    assertEquals(answers, List.of("refused 0.0"));
  }

  @Test
  public void callbackCountsAsAcceptanceWithout202() {
    request("a", 21_000);
    send("a", 1);
    attemptListeners.get(0).written();
    callBack("a", "s-1", WorkerCallback.State.STARTED);
    advance(1000);
    assertEquals(cancelledIds, List.of());
  }

  @Test
  public void repeatedCancelEndsAttemptOnce() {
    sendWritten("a", 1);
    actions.cancel("a", 0);
    actions.cancel("a", 0);
    runTurn();
    callBack("a", "s-1", WorkerCallback.State.DONE);
    assertEquals(cancelledIds, List.of("a"));
    assertEquals(dispatcherEvents, List.of("arrived a", "ended a/0 CANCELLED"));
  }

  @Test
  public void disconnectedClientGetsNoAnswerAndAttemptEndIsReported() {
    sendWritten("a", 1);
    coordinator.clientDisconnected("a");
    run();
    callBack("a", "s-1", WorkerCallback.State.DONE);
    assertEquals(answers, List.of());
    assertEquals(dispatcherEvents, List.of("arrived a", "abandoned a", "ended a/0 OK over"));
    assertEquals(coordinator.openRequestCount(), 0);
  }

  @Test
  public void sendsFinalAnswerOnceAndImmediately() {
    request("a", 5000);
    actions.reject("a", 500);
    actions.fail("a");
    runTurn();
    assertEquals(answers, List.of("refused 500.0"));
    assertEquals(coordinator.openRequestCount(), 0);
  }

  @Test
  public void rejectsIdOfFinishedRequestUntilItIsEvicted() {
    for (String id : List.of("a", "b", "c")) {
      request(id, 5000);
      actions.reject(id, 0);
      runTurn();
      assertFalse(coordinator.request(job(id, 5000), call(id), new AnswerRecorder()), id);
    }
    assertEquals(answers, List.of("refused 0.0", "refused 0.0", "refused 0.0"));
    // The coordinator remembers as many finished ids as it accepts pending requests, here two.
    request("a", 5000);
  }

  @Test
  public void requestThatDispatcherForgetsFailsAfterItsDeadline() {
    request("a", 1100);
    advance(100);
    assertEquals(answers, List.of());
    advance(10);
    assertEquals(answers, List.of("failed"));
    assertEquals(coordinator.openRequestCount(), 0);
  }

  @Test
  public void withholdsConnectingAttemptWhenWorkerDrainsRestartsOrMoves() {
    sendWritten("a", 1);
    assertTrue(attemptListeners.get(0).mayStart());
    Endpoint ready = endpoint("s-1", 1, WorkerState.READY, 0);
    for (Endpoint changed :
        List.of(
            endpoint("s-1", 1, WorkerState.DRAINING, 0),
            endpoint("s-1", 1, WorkerState.GONE, 0),
            endpoint("s-1", 1, WorkerState.READY, 900),
            new Endpoint("s-1", new InetSocketAddress("127.0.0.9", 9), ready.worker()))) {
      coordinator.updateEndpoints(EndpointListUpdate.CHANGES, List.of(changed));
      assertFalse(attemptListeners.get(0).mayStart(), changed.toString());
      coordinator.updateEndpoints(EndpointListUpdate.CHANGES, List.of(ready));
      assertTrue(attemptListeners.get(0).mayStart());
    }
    coordinator.updateEndpoints(
        EndpointListUpdate.WHOLE, List.of(endpoint("s-2", 2, WorkerState.READY, 0)));
    assertFalse(attemptListeners.get(0).mayStart());
  }

  @Test
  public void rejectsRequestsBeyondLimitAndIdsInUseWithoutDispatcher() {
    request("a", 5000);
    request("b", 5000);
    request("c", 5000);
    assertEquals(answers, List.of("refused 700.0"));
    assertFalse(coordinator.request(job("a", 5000), call("a"), new AnswerRecorder()));
    assertEquals(dispatcherEvents, List.of("arrived a", "arrived b"));
  }

  private void sendWritten(String id, long worker) {
    request(id, 1100);
    send(id, worker);
    attemptListeners.get(attemptListeners.size() - 1).written();
  }

  private void request(String id, double due) {
    assertTrue(coordinator.request(job(id, due), call(id), new AnswerRecorder()));
    run();
  }

  private void send(String id, long worker) {
    actions.send(id, worker, 0);
    runTurn();
  }

  private void callBack(String id, String from, WorkerCallback.State state) {
    coordinator.callback(new WorkerCallback(id, from, state, 0, "r", LoadReport.NONE));
    run();
  }

  /** The state of the attempt when the event loop is paused. */
  private enum StateAtPause {
    NOT_SENT,
    SENT,
    WRITTEN,
    STARTED
  }

  @DataProvider
  public Object[][] pauses() {
    List<Object[]> cases = new ArrayList<>();
    for (StateAtPause state : StateAtPause.values()) {
      for (double millis : new double[] {200, 400, 600, 800, 1000, 1500}) {
        cases.add(new Object[] {state, millis});
      }
    }
    return cases.toArray(Object[][]::new);
  }

  /**
   * Fails if an event loop that is paused beyond a deadline leaves a request unanswered or answers
   * it twice.
   */
  @Test(dataProvider = "pauses")
  public void answersRequestOnceInFirstTurnAfterPause(StateAtPause state, double millis) {
    request("a", now + 5_000);
    if (state != StateAtPause.NOT_SENT) {
      send("a", 1);
    }
    if (state.compareTo(StateAtPause.WRITTEN) >= 0) {
      attemptListeners.get(0).written();
    }
    if (state == StateAtPause.STARTED) {
      callBack("a", "s-1", WorkerCallback.State.STARTED);
    }
    advance(4_990);
    assertEquals(answers, List.of());
    advance(RequestCoordinator.FINAL_ANSWER_GRACE_MILLIS + millis);
    assertEquals(answers, List.of("failed"));
    callBack("a", "s-1", WorkerCallback.State.DONE);
    advance(10_000);
    assertEquals(answers, List.of("failed"));
    assertEquals(coordinator.openRequestCount(), 0);
  }

  /**
   * Fails if traces of answers that are barely late displace the traces of other requests from the
   * log.
   */
  @Test
  public void tracesOnlyAnswersThatAreLateByAFifthOfTolerance() {
    for (double late : new double[] {90, 110}) {
      request("a" + late, now + 5_000);
      now += 5_000 + late;
      actions.reject("a" + late, 0);
      runTurn();
    }
    List<String> traced = log.stream().filter(line -> line.contains("answered-late")).toList();
    assertEquals(traced.size(), 1, log.toString());
    assertTrue(traced.get(0).contains("id=a110"), traced.get(0));
  }

  /** Runs a turn, which executes the requested actions; any event triggers a turn. */
  private void runTurn() {
    coordinator.peerMessageReceived(0, new byte[0]);
    run();
  }

  private void advance(double millis) {
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

  private static Endpoint endpoint(String name, long id, WorkerState state, double startedAt) {
    return new Endpoint(
        name,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), (int) id),
        new Worker(id, state, 0, 0, 0, startedAt, 1));
  }

  private final class AnswerRecorder implements ResponseHandler {
    @Override
    public void served(String result) {
      answers.add("served " + result);
    }

    @Override
    public void rejected(double retryAfter) {
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
        JobRequest call, InetSocketAddress worker, double timeout, Listener listener) {
      attemptListeners.add(listener);
      return new AttemptHandle() {
        @Override
        public void cancel(Runnable whenNotified) {
          cancelledIds.add(call.id());
          whenNotified.run();
        }

        @Override
        public void readPending() {
          pendingInput.run();
        }
      };
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }
  }

  private final class RecordingDispatcher implements Dispatcher {
    @Override
    public void requestArrived(double time, Job job) {
      dispatcherEvents.add("arrived " + job.id());
    }

    @Override
    public void attemptStarted(double time, String id, int attempt) {
      dispatcherEvents.add("started " + id + "/" + attempt);
    }

    @Override
    public void attemptProgressed(double time, String id, int attempt, double share) {}

    @Override
    public void attemptStreaming(double time, String id, int attempt) {}

    @Override
    public void attemptEnded(
        double time,
        String id,
        int attempt,
        AttemptOutcome outcome,
        double elapsedMillis,
        boolean completed,
        LoadReport report) {
      dispatcherEvents.add(
          "ended " + id + "/" + attempt + " " + outcome + (completed ? " over" : ""));
    }

    @Override
    public void requestAbandoned(double time, String id) {
      dispatcherEvents.add("abandoned " + id);
    }

    @Override
    public void endpointsUpdated(
        double time, EndpointListUpdate updateType, List<Worker> workers) {}

    @Override
    public void endpointWatchFailed(double time) {}

    @Override
    public void healthCheckCompleted(
        double time,
        long worker,
        AttemptOutcome outcome,
        double elapsedMillis,
        LoadReport report) {}

    @Override
    public void peerMessageReceived(double time, int from, byte[] message) {}

    @Override
    public void timerExpired(double time, long token) {}
  }
}
