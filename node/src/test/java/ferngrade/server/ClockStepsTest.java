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
 * Steps of the wall clock under a whole node on sockets: what clients and workers are told stays by
 * real time.
 */
@Test(timeOut = 30_000)
public class ClockStepsTest extends NodeIntegrationFixture {
  private static final String TAKEN = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
  private static final String DONE = "\"state\":\"done\",\"result\":\"soup\"";
  private static final double GRACE = 50;
  private final SettableClock clock = new SettableClock(1_700_000_000_000.0);

  @DataProvider
  public Object[][] steps() {
    return SettableClock.steps();
  }

  @Test(dataProvider = "steps")
  public void deadlineToldToAWorkerIsWhatIsLeftInRealTime(double step) throws Exception {
    start(list(1, "active"), clock);
    try (RawHttp client = RawHttp.to(node.address())) {
      client.write(
          RawHttp.message(job("POST /api", "a", "order"), "")
              + RawHttp.message(job("POST /api", "b", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
      settled();
      clock.step(step);
      clock.pass(3000);
      callBack("a", DONE);
      assertEquals(client.read().body(), "soup");
      assertEquals(worked.read().headers().get("Req-Deadline"), "5990m");
    }
  }

  @Test(dataProvider = "steps")
  public void workerThatDrainsFinishesItsJobAndGetsNoOtherBeforeItIsListedAnew(double step)
      throws Exception {
    start(list(1, "active"), clock);
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp other = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
      watch.write(chunk(list(2, "leaving") + "\n"));
      settled();
      clock.step(step);
      clock.pass(100);
      assertEquals(
          other.write(RawHttp.message(job("POST /api", "b", "order"), "")).read().status(), 503);
      callBack("a", DONE);
      assertEquals(client.read().body(), "soup");
      watch.write(chunk(list(3, "active") + "\n"));
      settled();
      clock.pass(100);
      other.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      assertEquals(worked.read().headers().get("Req-Id"), "c");
    }
  }

  @Test(dataProvider = "steps")
  public void stopKeepsItsGraceAndFinishesWhatWasTaken(double step) throws Exception {
    start(list(1, "active"), clock);
    CompletableFuture<Void> stopped;
    try (RawHttp client = RawHttp.to(node.address());
        RawHttp other = RawHttp.to(node.address())) {
      client.write(RawHttp.message(job("POST /api", "a", "order"), ""));
      RawHttp worked = new RawHttp(worker.accept());
      worked.read();
      worked.write(TAKEN);
      stopped = CompletableFuture.runAsync(this::stopWithGrace);
      awaitReadiness(other, 503);
      clock.step(step);
      clock.pass(GRACE);
      assertEquals(callBack("a", DONE), 204);
      assertEquals(client.read().body(), "soup");
      assertNull(client.read());
    }
    stopped.get(20, TimeUnit.SECONDS);
  }

  private void stopWithGrace() {
    try {
      node.stop(GRACE);
    } catch (InterruptedException interrupted) {
      throw new IllegalStateException(interrupted);
    }
  }
}
