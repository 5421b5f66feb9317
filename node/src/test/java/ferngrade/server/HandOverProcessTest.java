package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.http.RawHttp;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Two processes of a node, one after the other, on one listening socket. */
@Test(timeOut = 60_000)
public class HandOverProcessTest extends SharedSocketFixture {
  @Test
  public void jobsInFlightOutliveTheHandOverAndNoClientIsRefused() throws Exception {
    startPlatform();
    ProcessHandle old = startProcess().handle();
    RawHttp first = RawHttp.to(clients);
    first.write(RawHttp.message(job("POST /api", "a", "order"), ""));
    take("a");
    startProcess();
    // Either process may get a connection, and has to see to it that a call-back reaches the one
    // with the job.
    try (RawHttp second = RawHttp.to(clients)) {
      second.write(RawHttp.message(job("POST /api", "b", "order"), ""));
      take("b");
      old.destroy();
      assertEquals(callBack(clients, "a", DONE), 204);
      assertEquals(first.read().body(), "soup");
      assertEquals(callBack(clients, "b", DONE), 204);
      assertEquals(second.read().body(), "soup");
    }
    first.close();
    old.onExit().get(20, TimeUnit.SECONDS);
    try (RawHttp third = RawHttp.to(clients)) {
      third.write(RawHttp.message(job("POST /api", "c", "order"), ""));
      take("c");
      assertEquals(callBack(clients, "c", DONE), 204);
      assertEquals(third.read().body(), "soup");
    }
  }
}
