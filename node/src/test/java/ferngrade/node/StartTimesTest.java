package ferngrade.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import ferngrade.dispatch.EndpointListUpdate;
import ferngrade.dispatch.Worker;
import ferngrade.dispatch.WorkerState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Where the translated starts of workers come to lie when wall clocks are stepped. */
public class StartTimesTest {
  private static final double START = 1_700_000_000_000.0;
  private static final double HOUR = 3_600_000;
  private SettableClock clock;
  private StartTimes times;

  @BeforeMethod
  public void begin() {
    clock = new SettableClock(START);
    times = new StartTimes(clock);
  }

  @DataProvider
  public Object[][] steps() {
    return SettableClock.steps();
  }

  private static Endpoint entry(long id, double listedStart) {
    return new Endpoint(
        "s-" + id,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), (int) id),
        new Worker(id, WorkerState.READY, 0, 0, 0, listedStart, 1));
  }

  private double translated(EndpointListUpdate news, Endpoint entry) {
    return times.translate(news, List.of(entry)).get(0).worker().startedAt();
  }

  /** The age, ms, that a worker is given which this list is the first to hold. */
  private double age(EndpointListUpdate news, long id, double listedStart) {
    return clock.now() - translated(news, entry(id, listedStart));
  }

  @Test
  public void withoutAStepEntriesPassAsTheyAre() {
    List<Endpoint> list = List.of(entry(1, 0), entry(2, START - 70_000), entry(3, START));
    assertEquals(times.translate(EndpointListUpdate.WHOLE, list), list);
  }

  @Test(dataProvider = "steps")
  public void stepBeforeTheFirstListOfBothMachinesIsTakenOut(double step) {
    clock.step(step);
    assertEquals(age(EndpointListUpdate.WHOLE, 1, clock.wall() - 2_000), 2_000.0);
    assertEquals(translated(EndpointListUpdate.WHOLE, entry(2, 0)), 0.0);
  }

  @Test(dataProvider = "steps")
  public void stepBetweenTwoListsOfBothMachinesIsTakenOut(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.pass(60_000);
    clock.step(step);
    clock.pass(60_000);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, clock.wall() - 300), 300.0);
  }

  @Test(dataProvider = "steps")
  public void stepOfThisMachineAloneDoesNotCount(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.pass(60_000);
    clock.step(step);
    clock.pass(60_000);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, clock.now() - 300), 300.0);
  }

  @Test(dataProvider = "steps")
  public void stepOfAWorkersMachineAloneLeavesItNoOlderThanAListWithoutIt(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.pass(60_000);
    times.unchanged();
    clock.pass(300);
    double age = age(EndpointListUpdate.CHANGES, 2, clock.now() - 300 + step);
    assertEquals(age, step > 0 ? 0.0 : Math.min(300 - step, 6_300));
  }

  @Test(dataProvider = "steps")
  public void stepDuringASilenceOfTheListIsTakenOutThoughStartsFromBeforeItComeLater(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.pass(60_000);
    double noted = clock.wall() - 200;
    clock.step(step);
    clock.pass(100);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, noted), 300.0);
  }

  @Test(dataProvider = "steps")
  public void startOnceKnownStaysThroughStepsAndAbsences(double step) {
    Endpoint listed = entry(1, START - 2_000);
    double start = translated(EndpointListUpdate.STORED, listed);
    for (EndpointListUpdate news :
        List.of(EndpointListUpdate.WHOLE, EndpointListUpdate.CHANGES, EndpointListUpdate.WHOLE)) {
      clock.step(step);
      clock.pass(10_000);
      assertEquals(translated(news, listed), start, news.name());
      translated(EndpointListUpdate.WHOLE, entry(2, 0));
    }
    assertEquals(translated(EndpointListUpdate.WHOLE, listed), start, "it was left out for a time");
  }

  @Test(dataProvider = "steps")
  public void restartIsSeenThoughTheBoundsPutBothStartsOnOneMoment(double step) {
    clock.step(step);
    double first = translated(EndpointListUpdate.WHOLE, entry(1, clock.now() + 10 * HOUR));
    assertNotEquals(
        translated(EndpointListUpdate.CHANGES, entry(1, clock.now() + 11 * HOUR)), first);
  }

  @Test(dataProvider = "steps")
  public void startAheadOfBothClocksIsNotAheadOfTheList(double step) {
    clock.step(step);
    assertEquals(age(EndpointListUpdate.WHOLE, 1, clock.wall() + 20 * HOUR), 0.0);
  }

  @Test
  public void manyStepsBackAndForthKeepTheRelationsThatHold() {
    for (int i = 0; i < 100; i++) {
      clock.step(i % 2 == 0 ? HOUR : -HOUR);
      clock.pass(5_000);
      assertEquals(age(EndpointListUpdate.CHANGES, i + 1, clock.wall() - 10), 10.0);
    }
  }

  @Test(dataProvider = "steps")
  public void savedTimesPassFromProcessToProcessByTheWallClock(double step) {
    clock.step(step);
    double saved = times.toWall(clock.now() - 4_000);
    SettableClock later = new SettableClock(clock.wall() + 1_000);
    assertEquals(new StartTimes(later).toMonotonic(saved), later.now() - 5_000);
    assertEquals(
        new StartTimes(later).toMonotonic(later.now() + HOUR), later.now(), "not ahead of now");
  }
}
