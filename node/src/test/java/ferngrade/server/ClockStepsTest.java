package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import ferngrade.http.RawHttp;
import ferngrade.node.SettableClock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against wall clock steps that change deadlines and timeouts of a running node: times sent
 * to clients and workers must follow elapsed time.
 */
@Test(timeOut = 30_000)
public class ClockStepsTest extends NodeIntegrationFixture {
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final double GRACE_MILLIS = 50;
  private final SettableClock clock = new SettableClock(1_700_000_000_000.0);

  @DataProvider
  public Object[][] steps() {
    return SettableClock.steps();
  }

  @Test(dataProvider = "steps")
  public void deadlineSentToWorkerIsRemainingElapsedTime(double step) throws Exception {
    start(endpointList(1, "active"), clock);
    try (RawHttp client = RawHttp.connect(node.address())) {
      client.write(
          RawHttp.message(jobHead("POST /api", "a", "order"), "")
              + RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
      awaitSettled();
      clock.stepWallClock(step);
      clock.advance(3000);
      sendCallback("a", DONE);
      assertEquals(client.read().body(), "soup");
      assertEquals(workerConnection.read().headers().get("Req-Deadline"), "5990m");
    }
  }

  @Test(dataProvider = "steps")
  public void drainingWorkerFinishesItsJobAndGetsNoNewJobUntilListedAsActive(double step)
      throws Exception {
    start(endpointList(1, "active"), clock);
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp other = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
      watch.write(chunk(endpointList(2, "leaving") + "\n"));
      awaitSettled();
      clock.stepWallClock(step);
      clock.advance(100);
      assertEquals(
          other.write(RawHttp.message(jobHead("POST /api", "b", "order"), "")).read().status(),
          503);
      sendCallback("a", DONE);
      assertEquals(client.read().body(), "soup");
      watch.write(chunk(endpointList(3, "active") + "\n"));
      awaitSettled();
      clock.advance(100);
      other.write(RawHttp.message(jobHead("POST /api", "c", "order"), ""));
      assertEquals(workerConnection.read().headers().get("Req-Id"), "c");
    }
  }

  @Test(dataProvider = "steps")
  public void stopKeepsGracePeriodAndFinishesAcceptedJobs(double step) throws Exception {
    start(endpointList(1, "active"), clock);
    CompletableFuture<Void> stopped;
    try (RawHttp client = RawHttp.connect(node.address());
        RawHttp other = RawHttp.connect(node.address())) {
      client.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
      RawHttp workerConnection = new RawHttp(worker.accept());
      workerConnection.read();
      workerConnection.write(ACCEPTED);
      stopped = CompletableFuture.runAsync(this::stopWithGrace);
      awaitReadyStatus(other, 503);
      clock.stepWallClock(step);
      clock.advance(GRACE_MILLIS);
      assertEquals(sendCallback("a", DONE), 204);
      assertEquals(client.read().body(), "soup");
      assertNull(client.read());
    }
    stopped.get(20, TimeUnit.SECONDS);
  }

  private void stopWithGrace() {
    try {
      node.stop(GRACE_MILLIS);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
