package ferngrade.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

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
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A worker that joins and warms up at 200 requests a second must get the same number of requests in
 * each second, whether or not wall clocks were stepped at some earlier time.
 */
public class SlowStartAcrossClockStepsTest {
  private static final double START_MILLIS = 1_700_000_000_000.0;
  private static final int OBSERVED_SECONDS = 10;
  private static final double REQUEST_INTERVAL_MILLIS = 5;
  private static final double SERVICE_TIME_MILLIS = 20;

  /** When the wall clocks are stepped. */
  private enum StepTime {
    BEFORE_FIRST_LIST,
    BEFORE_WORKER_START,
    BETWEEN_START_AND_LISTING,
    DURING_WARM_UP
  }

  /**
   * The machines whose wall clocks are stepped: all machines, or only the machine of this process.
   */
  private enum SteppedClocks {
    ALL_MACHINES,
    THIS_MACHINE
  }

  @DataProvider
  public Object[][] cases() {
    return Arrays.stream(SettableClock.steps())
        .flatMap(
            step ->
                Arrays.stream(StepTime.values())
                    .flatMap(
                        stepTime ->
                            Arrays.stream(SteppedClocks.values())
                                .map(
                                    steppedClocks ->
                                        new Object[] {step[0], stepTime, steppedClocks})))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "cases")
  public void clockStepDoesNotChangeSlowStartOfJoinedWorker(
      double step, StepTime stepTime, SteppedClocks steppedClocks) {
    int[] expected = new SimulatedNode().sendsPerSecond(0, stepTime, steppedClocks);
    assertTrue(
        expected[0] > 0 && expected[0] < expected[OBSERVED_SECONDS - 1] / 2,
        Arrays.toString(expected));
    assertEquals(new SimulatedNode().sendsPerSecond(step, stepTime, steppedClocks), expected);
  }

  /**
   * Simulates a node that uses the real dispatcher, with two workers that serve all requests they
   * receive.
   */
  private static final class SimulatedNode implements WorkerTransport {
    private final SettableClock clock = new SettableClock(START_MILLIS);
    private final Timers timers = new Timers(clock, (millis, run) -> {});
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final int[] sentPerSecond = new int[OBSERVED_SECONDS];
    private final RequestCoordinator coordinator;
    private double step;
    private StepTime stepTime;

    /** The wall clock of the workers' machines minus the monotonic clock of this machine, ms. */
    private double workerWallOffset;

    private double joinedAt = Double.NaN;
    private int requests;

    SimulatedNode() {
      SettingsMapping settings = new SettingsMapping();
      settings.put(
          Json.parse(
                  """
                  {"Balancers":1,"Zones":["z"],"Kinds":["k"],"Tenants":[{"Name":"t","Share":1}],
                  "Rules":{"StartCapacity":0.1,"Cold":6000,"FallMultiple":1.5,"TipAfter":500},
                  "Classes":[{"Name":"draft","Effect":"idempotent","Deadline":1000.0}]}""")
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
              new RequestCoordinator.RequestLimits(1000, MemoryBudget.unlimited(), 0),
              actions -> new ThrottlingDispatcher(settings.build(), 7, clock.now(), actions));
    }

    int[] sendsPerSecond(double stepMillis, StepTime stepTime, SteppedClocks steppedClocks) {
      step = stepMillis;
      this.stepTime = stepTime;
      stepIfDue(StepTime.BEFORE_FIRST_LIST, steppedClocks);
      coordinator.updateEndpoints(EndpointListUpdate.WHOLE, List.of(entry(1, 0)));
      sendRequests(20_000);
      stepIfDue(StepTime.BEFORE_WORKER_START, steppedClocks);
      double listedStart = clock.now() + workerWallOffset;
      stepIfDue(StepTime.BETWEEN_START_AND_LISTING, steppedClocks);
      sendRequests(100);
      joinedAt = clock.now();
      coordinator.updateEndpoints(EndpointListUpdate.CHANGES, List.of(entry(2, listedStart)));
      sendRequests(1_000);
      stepIfDue(StepTime.DURING_WARM_UP, steppedClocks);
      coordinator.updateEndpoints(
          EndpointListUpdate.WHOLE, List.of(entry(1, 0), entry(2, listedStart)));
      sendRequests(OBSERVED_SECONDS * 1000 - 1_000 - REQUEST_INTERVAL_MILLIS);
      return sentPerSecond;
    }

    private void stepIfDue(StepTime current, SteppedClocks steppedClocks) {
      if (stepTime == current) {
        clock.stepWallClock(step);
        workerWallOffset += steppedClocks == SteppedClocks.ALL_MACHINES ? step : 0;
      }
    }

    private static Endpoint entry(int id, double listedStart) {
      return new Endpoint(
          "s-" + id,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), id),
          new Worker(id, WorkerState.READY, 0, 0, 0, listedStart, 1));
    }

    private void sendRequests(double millis) {
      for (double elapsed = 0; elapsed < millis; elapsed += REQUEST_INTERVAL_MILLIS) {
        clock.advance(REQUEST_INTERVAL_MILLIS);
        timers.run();
        String id = "r" + requests++;
        coordinator.request(
            new Job(id, 0, 0, clock.now() + 1000, 0, 1, 0, 0),
            new JobRequest(id, "POST", "/api", null, new byte[0]),
            new IgnoredResponse());
        while (!tasks.isEmpty()) {
          tasks.poll().run();
        }
      }
    }

    @Override
    public AttemptHandle send(
        JobRequest call, InetSocketAddress worker, double timeout, Listener listener) {
      if (worker.getPort() == 2) {
        sentPerSecond[(int) ((clock.now() - joinedAt) / 1000)]++;
      }
      listener.written();
      listener.accepted();
      timers.after(
          SERVICE_TIME_MILLIS,
          () ->
              coordinator.callback(
                  new WorkerCallback(
                      call.id(),
                      "s-" + worker.getPort(),
                      WorkerCallback.State.DONE,
                      1,
                      "r",
                      LoadReport.NONE)));
      return whenNotified -> {};
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }
  }

  /** Ignores the answer to a request. */
  private static final class IgnoredResponse implements ResponseHandler {
    @Override
    public void served(String result) {}

    @Override
    public void rejected(double retryAfter) {}

    @Override
    public void failed() {}
  }
}
