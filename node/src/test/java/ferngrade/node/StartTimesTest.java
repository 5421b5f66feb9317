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

/** Converts workers' start times while wall clocks are stepped. */
public class StartTimesTest {
  private static final double START_MILLIS = 1_700_000_000_000.0;
  private static final double HOUR_MILLIS = 3_600_000;
  private SettableClock clock;
  private StartTimes startTimes;

  @BeforeMethod
  public void createStartTimes() {
    clock = new SettableClock(START_MILLIS);
    startTimes = new StartTimes(clock);
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

  private double translated(EndpointListUpdate updateType, Endpoint entry) {
    return startTimes.translate(updateType, List.of(entry)).get(0).worker().startedAt();
  }

  /** Returns the age, ms, that is assumed for a worker in the first list that contains it. */
  private double age(EndpointListUpdate updateType, long id, double listedStart) {
    return clock.now() - translated(updateType, entry(id, listedStart));
  }

  @Test
  public void entriesAreUnchangedWithoutClockStep() {
    List<Endpoint> list =
        List.of(entry(1, 0), entry(2, START_MILLIS - 70_000), entry(3, START_MILLIS));
    assertEquals(startTimes.translate(EndpointListUpdate.WHOLE, list), list);
  }

  @Test(dataProvider = "steps")
  public void correctsStepOfBothMachinesBeforeFirstList(double step) {
    clock.stepWallClock(step);
    assertEquals(age(EndpointListUpdate.WHOLE, 1, clock.wall() - 2_000), 2_000.0);
    assertEquals(translated(EndpointListUpdate.WHOLE, entry(2, 0)), 0.0);
  }

  @Test(dataProvider = "steps")
  public void correctsStepOfBothMachinesBetweenTwoLists(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.advance(60_000);
    clock.stepWallClock(step);
    clock.advance(60_000);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, clock.wall() - 300), 300.0);
  }

  @Test(dataProvider = "steps")
  public void ignoresStepOfThisMachineOnly(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.advance(60_000);
    clock.stepWallClock(step);
    clock.advance(60_000);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, clock.now() - 300), 300.0);
  }

  @Test(dataProvider = "steps")
  public void boundsAgeByEarlierListAfterStepOfWorkersMachineOnly(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.advance(60_000);
    startTimes.listConfirmed();
    clock.advance(300);
    double age = age(EndpointListUpdate.CHANGES, 2, clock.now() - 300 + step);
    assertEquals(age, step > 0 ? 0.0 : Math.min(300 - step, 6_300));
  }

  @Test(dataProvider = "steps")
  public void correctsStepForStartRecordedBeforeIt(double step) {
    translated(EndpointListUpdate.WHOLE, entry(1, 0));
    clock.advance(60_000);
    double recordedStart = clock.wall() - 200;
    clock.stepWallClock(step);
    clock.advance(100);
    assertEquals(age(EndpointListUpdate.CHANGES, 2, recordedStart), 300.0);
  }

  @Test(dataProvider = "steps")
  public void knownStartIsKeptThroughStepsAndAbsences(double step) {
    Endpoint listed = entry(1, START_MILLIS - 2_000);
    double start = translated(EndpointListUpdate.STORED, listed);
    for (EndpointListUpdate updateType :
        List.of(EndpointListUpdate.WHOLE, EndpointListUpdate.CHANGES, EndpointListUpdate.WHOLE)) {
      clock.stepWallClock(step);
      clock.advance(10_000);
      assertEquals(translated(updateType, listed), start, updateType.name());
      translated(EndpointListUpdate.WHOLE, entry(2, 0));
    }
    assertEquals(
        translated(EndpointListUpdate.WHOLE, listed),
        start,
        "the start must be kept although a list did not contain the worker");
  }

  @Test(dataProvider = "steps")
  public void restartIsDetectedWhenBoundsYieldEqualStarts(double step) {
    clock.stepWallClock(step);
    double first = translated(EndpointListUpdate.WHOLE, entry(1, clock.now() + 10 * HOUR_MILLIS));
    assertNotEquals(
        translated(EndpointListUpdate.CHANGES, entry(1, clock.now() + 11 * HOUR_MILLIS)), first);
  }

  @Test(dataProvider = "steps")
  public void startAheadOfBothClocksIsLimitedToTimeOfList(double step) {
    clock.stepWallClock(step);
    assertEquals(age(EndpointListUpdate.WHOLE, 1, clock.wall() + 20 * HOUR_MILLIS), 0.0);
  }

  @Test
  public void repeatedStepsKeepMatchingOffsets() {
    for (int i = 0; i < 100; i++) {
      clock.stepWallClock(i % 2 == 0 ? HOUR_MILLIS : -HOUR_MILLIS);
      clock.advance(5_000);
      assertEquals(age(EndpointListUpdate.CHANGES, i + 1, clock.wall() - 10), 10.0);
    }
  }

  @Test(dataProvider = "steps")
  public void savedTimesAreConvertedBetweenProcessesByWallClock(double step) {
    clock.stepWallClock(step);
    double saved = startTimes.toWall(clock.now() - 4_000);
    SettableClock laterClock = new SettableClock(clock.wall() + 1_000);
    assertEquals(new StartTimes(laterClock).toMonotonic(saved), laterClock.now() - 5_000);
    assertEquals(
        new StartTimes(laterClock).toMonotonic(laterClock.now() + HOUR_MILLIS),
        laterClock.now(),
        "the converted time must not be later than now");
  }
}
