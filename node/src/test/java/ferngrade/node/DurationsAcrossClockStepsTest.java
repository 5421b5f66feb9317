package ferngrade.node;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.SettingsMapping;
import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Job;
import ferngrade.dispatch.LoadReport;
import ferngrade.dispatch.ThrottlingDispatcher;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Deadlines, idempotency windows, Retry-After delays, drains and timeouts must be measured in
 * monotonic time: the same input must lead to the same answers, sends and times when the wall clock
 * is stepped at any point.
 */
public class DurationsAcrossClockStepsTest {
  private static final double START_MILLIS = 1_700_000_000_000.0;
  private static final int STEP_POINTS = 10;

  @DataProvider
  public Object[][] cases() {
    return Stream.of(SettableClock.steps())
        .flatMap(
            step ->
                IntStream.range(0, STEP_POINTS).mapToObj(point -> new Object[] {step[0], point}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "cases")
  public void wallClockStepAtAnyPointChangesNoEvent(double step, int point) {
    List<String> events = new SimulatedNode(0, point).events();
    assertEquals(
        events,
        List.of(
            "0.0 keyed to s-1 for 1000.0",
            "100.0 keyed to s-2 for 900.0",
            "120.0 keyed served",
            "120.0 outside to s-2 for 1000.0",
            "620.0 outside refused for 20.0",
            "620.0 hangs to s-2 for 1000.0",
            "1620.0 hangs cancelled",
            "1620.0 hangs failed",
            "1620.0 drained refused for 20.0"),
        "events without a clock step");
    assertEquals(new SimulatedNode(step, point).events(), events);
  }

  /** Simulates a node that uses the real dispatcher, and runs one fixed sequence of events. */
  private static final class SimulatedNode implements WorkerTransport {
    private final SettableClock clock = new SettableClock(START_MILLIS);
    private final Timers timers = new Timers(clock, (millis, run) -> {});
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final List<String> events = new ArrayList<>();
    private final RequestCoordinator coordinator;
    private final double step;
    private final int point;
    private int stepPointsPassed;
    private Listener lastListener;
    private String lastWorker;

    SimulatedNode(double step, int point) {
      this.step = step;
      this.point = point;
      SettingsMapping settings = new SettingsMapping();
      settings.put(
          Json.parse(
                  """
{"Zones":["z"],"Kinds":["k"],"Tenants":[{"Name":"t","Share":1}],
"Ceilings":{"MostTries":5,"RetryAfter":true,"MaxRetryAfter":2000},
"Classes":[{"Name":"plan","Effect":"deduplicated","KeyScope":"all","Window":400,"Deadline":1000.0},
{"Name":"order","Effect":"at_most_once","Deadline":1000.0}]}""")
              .asObject());
      coordinator =
          new RequestCoordinator(
              new RequestCoordinator.Dependencies(
                  clock,
                  timers,
                  tasks::add,
                  this,
                  (peer, message) -> {},
                  new RateLimitedLog(clock, line -> {})),
              new RequestCoordinator.RequestLimits(100, MemoryBudget.unlimited(), 700),
              actions -> new ThrottlingDispatcher(settings.build(), 7, clock.now(), actions));
    }

    /**
     * Runs the whole sequence and returns the recorded events. The clock may be stepped between any
     * two events.
     */
    List<String> events() {
      stepIfDue();
      updateList(WorkerState.READY);
      stepIfDue();
      request("keyed", 0);
      advance(100);
      lastListener.ended(AttemptOutcome.RESET, LoadReport.NONE);
      run();
      advance(20);
      coordinator.callback(
          new WorkerCallback(
              "keyed", lastWorker, WorkerCallback.State.DONE, 1, "r", LoadReport.NONE));
      run();
      request("outside", 0);
      advance(500);
      lastListener.ended(AttemptOutcome.RESET, LoadReport.NONE);
      run();
      request("hangs", 1);
      advance(1_000);
      updateList(WorkerState.DRAINING);
      request("drained", 1);
      advance(100);
      return events;
    }

    private void stepIfDue() {
      if (stepPointsPassed++ == point) {
        clock.stepWallClock(step);
      }
    }

    private void updateList(WorkerState state) {
      coordinator.updateEndpoints(
          EndpointListUpdate.WHOLE, List.of(entry(1, state), entry(2, state)));
      run();
    }

    private static Endpoint entry(int id, WorkerState state) {
      return new Endpoint(
          "s-" + id,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), id),
          new Worker(id, state, 0, 0, 0, 0, 1));
    }

    private void request(String id, int jobClass) {
      coordinator.request(
          new Job(id, jobClass, 0, clock.now() + 1000, 0, 1, 0, 0),
          new JobRequest(id, "POST", "/api", id, new byte[0]),
          new AnswerRecorder(id));
      run();
      stepIfDue();
    }

    private void advance(double millis) {
      for (double elapsed = 0; elapsed < millis; elapsed += 10) {
        clock.advance(10);
        timers.run();
        run();
      }
      stepIfDue();
    }

    private void run() {
      while (!tasks.isEmpty()) {
        tasks.poll().run();
      }
    }

    private void event(String description) {
      events.add((clock.now() - START_MILLIS) + " " + description);
    }

    @Override
    public AttemptHandle send(
        JobRequest call, InetSocketAddress worker, double timeout, Listener listener) {
      lastWorker = "s-" + worker.getPort();
      event(call.id() + " to " + lastWorker + " for " + timeout);
      lastListener = listener;
      listener.written();
      listener.accepted();
      return whenNotified -> {
        event(call.id() + " cancelled");
        whenNotified.run();
      };
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }

    /** Records the answer to one request. */
    private final class AnswerRecorder implements ResponseHandler {
      private final String id;

      AnswerRecorder(String id) {
        this.id = id;
      }

      @Override
      public void served(String result) {
        event(id + " served");
      }

      @Override
      public void rejected(double retryAfter) {
        event(id + " refused for " + retryAfter);
      }

      @Override
      public void failed() {
        event(id + " failed");
      }
    }
  }
}
