package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.http.RawHttp;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against lost jobs and rejected clients when a new process takes over the socket. */
@Test(timeOut = 60_000)
public class HandOverProcessTest extends SharedSocketFixture {
  @Test
  public void handOverKeepsJobsInFlightAndRejectsNoClient() throws Exception {
    startPlatform();
    ProcessHandle predecessor = startProcess().handle();
    RawHttp first = RawHttp.connect(clients);
    first.write(RawHttp.message(jobHead("POST /api", "a", "order"), ""));
    acceptJob("a");
    startProcess();
    // Either process may accept a connection, so callbacks must be relayed to the job's process.
    try (RawHttp second = RawHttp.connect(clients)) {
      second.write(RawHttp.message(jobHead("POST /api", "b", "order"), ""));
      acceptJob("b");
      predecessor.destroy();
      assertEquals(sendCallback(clients, "a", DONE), 204);
      assertEquals(first.read().body(), "soup");
      assertEquals(sendCallback(clients, "b", DONE), 204);
      assertEquals(second.read().body(), "soup");
    }
    first.close();
    predecessor.onExit().get(20, TimeUnit.SECONDS);
    try (RawHttp third = RawHttp.connect(clients)) {
      third.write(RawHttp.message(jobHead("POST /api", "c", "order"), ""));
      acceptJob("c");
      assertEquals(sendCallback(clients, "c", DONE), 204);
      assertEquals(third.read().body(), "soup");
    }
  }
}
