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
 * What the decisions send a worker that joins and warms up, at 200 requests a second and with both
 * machines' wall clocks stepped at some moment before: the same as without a step.
 */
public class SlowStartAcrossStepsTest {
  private static final double START = 1_700_000_000_000.0;
  private static final int SECONDS_OBSERVED = 10;
  private static final double PAUSE = 5;
  private static final double SERVICE = 20;

  /** When the step comes. */
  private enum Moment {
    BEFORE_THE_FIRST_LIST,
    BEFORE_THE_WORKER_STARTS,
    BETWEEN_ITS_START_AND_ITS_LISTING,
    WHILE_IT_WARMS_UP
  }

  /** Whose wall clock is stepped: of all machines, or of this one alone. */
  private enum Stepped {
    ALL,
    THIS_ONE
  }

  @DataProvider
  public Object[][] cases() {
    return Arrays.stream(SettableClock.steps())
        .flatMap(
            step ->
                Arrays.stream(Moment.values())
                    .flatMap(
                        moment ->
                            Arrays.stream(Stepped.values())
                                .map(who -> new Object[] {step[0], moment, who})))
        .toArray(Object[][]::new);
  }

  @Test(dataProvider = "cases")
  public void joinedWorkersSlowStartGoesAsWithoutAStep(double step, Moment moment, Stepped who) {
    int[] without = new Run().sends(0, moment, who);
    assertTrue(
        without[0] > 0 && without[0] < without[SECONDS_OBSERVED - 1] / 2, Arrays.toString(without));
    assertEquals(new Run().sends(step, moment, who), without);
  }

  /** A node with the module's own decisions, between two workers that serve all they get. */
  private static final class Run implements WorkerTransport {
    private final SettableClock clock = new SettableClock(START);
    private final Timers timers = new Timers(clock, (millis, run) -> {});
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final int[] sent = new int[SECONDS_OBSERVED];
    private final RequestCoordinator node;
    private double step;
    private Moment moment;

    /** The wall clock of the workers' machines, less the monotonic one here. */
    private double theirsAhead;

    private double joinedAt = Double.NaN;
    private int requests;

    Run() {
      SettingsMapping settings = new SettingsMapping();
      settings.put(
          Json.parse(
                  """
                  {"Balancers":1,"Zones":["z"],"Kinds":["k"],"Tenants":[{"Name":"t","Share":1}],
                  "Rules":{"StartCapacity":0.1,"Cold":6000,"FallMultiple":1.5,"TipAfter":500},
                  "Classes":[{"Name":"draft","Effect":"idempotent","Deadline":1000.0}]}""")
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
              new RequestCoordinator.RequestLimits(1000, 1_000_000, 0),
              actions -> new ThrottlingDispatcher(settings.build(), 7, clock.now(), actions));
    }

    int[] sends(double by, Moment when, Stepped who) {
      step = by;
      moment = when;
      at(Moment.BEFORE_THE_FIRST_LIST, who);
      node.members(EndpointListUpdate.WHOLE, List.of(entry(1, 0)));
      traffic(20_000);
      at(Moment.BEFORE_THE_WORKER_STARTS, who);
      double listedStart = clock.now() + theirsAhead;
      at(Moment.BETWEEN_ITS_START_AND_ITS_LISTING, who);
      traffic(100);
      joinedAt = clock.now();
      node.members(EndpointListUpdate.CHANGES, List.of(entry(2, listedStart)));
      traffic(1_000);
      at(Moment.WHILE_IT_WARMS_UP, who);
      node.members(EndpointListUpdate.WHOLE, List.of(entry(1, 0), entry(2, listedStart)));
      traffic(SECONDS_OBSERVED * 1000 - 1_000 - PAUSE);
      return sent;
    }

    private void at(Moment here, Stepped who) {
      if (moment == here) {
        clock.step(step);
        theirsAhead += who == Stepped.ALL ? step : 0;
      }
    }

    private static Endpoint entry(int id, double listedStart) {
      return new Endpoint(
          "s-" + id,
          new InetSocketAddress(InetAddress.getLoopbackAddress(), id),
          new Worker(id, WorkerState.READY, 0, 0, 0, listedStart, 1));
    }

    private void traffic(double millis) {
      for (double passed = 0; passed < millis; passed += PAUSE) {
        clock.pass(PAUSE);
        timers.run();
        String id = "r" + requests++;
        node.request(
            new Job(id, 0, 0, clock.now() + 1000, 0, 1, 0, 0),
            new JobRequest(id, "POST", "/api", null, new byte[0]),
            new Unheard());
        while (!tasks.isEmpty()) {
          tasks.poll().run();
        }
      }
    }

    @Override
    public AttemptHandle send(
        JobRequest call, InetSocketAddress worker, double patience, Listener listener) {
      if (worker.getPort() == 2) {
        sent[(int) ((clock.now() - joinedAt) / 1000)]++;
      }
      listener.written();
      listener.taken();
      timers.after(
          SERVICE,
          () ->
              node.callback(
                  new WorkerCallback(
                      call.id(),
                      "s-" + worker.getPort(),
                      WorkerCallback.State.DONE,
                      1,
                      "r",
                      LoadReport.NONE)));
      return told -> {};
    }

    @Override
    public void check(InetSocketAddress worker, BiConsumer<AttemptOutcome, LoadReport> listener) {
      listener.accept(AttemptOutcome.OK, LoadReport.NONE);
    }
  }

  /** The client of a request, whose answer does not matter here. */
  private static final class Unheard implements ResponseHandler {
    @Override
    public void served(String result) {}

    @Override
    public void refused(double retryAfter) {}

    @Override
    public void failed() {}
  }
}
