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
 * Deadlines, idempotency windows, Retry-After, drains and waits are spans of real time: the same
 * events, with the wall clock stepped at any point between them, bring the same answers, sends and
 * times.
 */
public class SpansAcrossStepsTest {
  private static final double START = 1_700_000_000_000.0;
  private static final int POINTS = 10;

  @DataProvider
  public Object[][] cases() {
    return Stream.of(SettableClock.steps())
        .flatMap(
            step -> IntStream.range(0, POINTS).mapToObj(point -> new Object[] {step[0], point}))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "cases")
  public void stepOfTheWallClockAtAnyPointChangesNothing(double step, int point) {
    List<String> events = new Run(0, point).events();
    assertEquals(
        events,
        List.of(
            "0.0 keyed to s-1 for 1000.0",
            "100.0 keyed to s-2 for 900.0",
            "120.0 keyed served",
            "120.0 outside to s-2 for 1000.0",
            "620.0 outside refused for 20.0",
            "620.0 hangs to s-2 for 1000.0",
            "1620.0 hangs given up",
            "1620.0 hangs failed",
            "1620.0 drained refused for 20.0"),
        "without a step");
    assertEquals(new Run(step, point).events(), events);
  }

  /** One course of events at a node with the module's own decisions. */
  private static final class Run implements WorkerTransport {
    private final SettableClock clock = new SettableClock(START);
    private final Timers timers = new Timers(clock, (millis, run) -> {});
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final List<String> events = new ArrayList<>();
    private final RequestCoordinator node;
    private final double step;
    private final int point;
    private int passed;
    private Listener last;
    private String lastWorker;

    Run(double step, int point) {
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
      node =
          new RequestCoordinator(
              new RequestCoordinator.Surroundings(
                  clock,
                  timers,
                  tasks::add,
                  this,
                  (peer, message) -> {},
                  new RateLimitedLog(clock, line -> {})),
              new RequestCoordinator.RequestLimits(100, 100_000, 700),
              actions -> new ThrottlingDispatcher(settings.build(), 7, clock.now(), actions));
    }

    /** All of it; a point at which the step may come lies between any two events. */
    List<String> events() {
      point();
      list(WorkerState.READY);
      point();
      request("keyed", 0);
      pass(100);
      last.ended(AttemptOutcome.RESET, LoadReport.NONE);
      run();
      pass(20);
      node.callback(
          new WorkerCallback(
              "keyed", lastWorker, WorkerCallback.State.DONE, 1, "r", LoadReport.NONE));
      run();
      request("outside", 0);
      pass(500);
      last.ended(AttemptOutcome.RESET, LoadReport.NONE);
      run();
      request("hangs", 1);
      pass(1_000);
      list(WorkerState.DRAINING);
      request("drained", 1);
      pass(100);
      return events;
    }

    private void point() {
      if (passed++ == point) {
        clock.step(step);
      }
    }

    private void list(WorkerState state) {
      node.members(EndpointListUpdate.WHOLE, List.of(entry(1, state), entry(2, state)));
      run();
    }

    private static Endpoint entry(int id, WorkerState state) {
      return new Endpoint(
          "s-" + id,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), id),
          new Worker(id, state, 0, 0, 0, 0, 1));
    }

    private void request(String id, int jobClass) {
      node.request(
          new Job(id, jobClass, 0, clock.now() + 1000, 0, 1, 0, 0),
          new JobRequest(id, "POST", "/api", id, new byte[0]),
          new Answers(id));
      run();
      point();
    }

    private void pass(double millis) {
      for (double gone = 0; gone < millis; gone += 10) {
        clock.pass(10);
        timers.run();
        run();
      }
      point();
    }

    private void run() {
      while (!tasks.isEmpty()) {
        tasks.poll().run();
      }
    }

    private void event(String what) {
      events.add((clock.now() - START) + " " + what);
    }

    @Override
    public AttemptHandle send(
        JobRequest call, InetSocketAddress worker, double patience, Listener listener) {
      lastWorker = "s-" + worker.getPort();
      event(call.id() + " to " + lastWorker + " for " + patience);
      last = listener;
      listener.written();
      listener.taken();
      return told -> {
        event(call.id() + " given up");
        told.run();
      };
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }

    /** Notes the answer to one request. */
    private final class Answers implements ResponseHandler {
      private final String id;

      Answers(String id) {
        this.id = id;
      }

      @Override
      public void served(String result) {
        event(id + " served");
      }

      @Override
      public void refused(double retryAfter) {
        event(id + " refused for " + retryAfter);
      }

      @Override
      public void failed() {
        event(id + " failed");
      }
    }
  }
}
