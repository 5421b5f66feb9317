package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.http.RawHttp;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a client that blocks the event loop with many pipelined requests. */
@Test(timeOut = 30_000)
public class PipelinedFloodTest extends BlockedLoopFixture {
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";
  private static final String UNKNOWN_CLASS =
      RawHttp.message(jobHead("POST /api", "u", "nothing"), "");
  private static final int FLOOD_REQUESTS = 2000;

  /** The maximum number of requests that the loop may handle for one client in one turn. */
  private static final int MAX_REQUESTS_PER_TURN = 50;

  private static final double DELAY_MILLIS = 60_000;

  private final BlockingQueue<Job> arrivedJobs = new LinkedBlockingQueue<>();

  @DataProvider
  public Object[][] floods() {
    return new Object[][] {
      {UNKNOWN_CLASS, "400", "503"}, {request("a"), "503", "200"}, {READY, "200", "200"}
    };
  }

  /** Guards against handling all pipelined requests of a client in one turn of the loop. */
  @Test(dataProvider = "floods")
  public void requestsSentAtOnceAreAnsweredInManyTurns(
      String first, String firstStatus, String secondStatus) throws Exception {
    start(64);
    RawHttp client = connect(node.address(), "");
    awaitSettled();
    long turnsBefore = turns();
    blockLoop();
    client.write(first + READY.repeat(FLOOD_REQUESTS));
    blockReleased.countDown();
    assertEquals(outcome(client), firstStatus);
    assertEquals(outcome(client), secondStatus);
    int answers = 2;
    for (String last = secondStatus;
        !last.equals("closed") && answers <= FLOOD_REQUESTS;
        answers++) {
      last = outcome(client);
      assertTrue(List.of("200", "503", "closed").contains(last), last);
    }
    assertTrue(
        answers <= (turns() - turnsBefore) * MAX_REQUESTS_PER_TURN,
        answers + " answers in too few turns");
  }

  /** Guards against deferred reads that give a later request an arrival time that is too early. */
  @Test
  public void requestAfterFloodHasDeadlineFromItsArrival() throws Exception {
    start(64);
    RawHttp client = connect(node.address(), request("first") + READY.repeat(FLOOD_REQUESTS));
    for (int i = 0; i <= FLOOD_REQUESTS; i++) {
      client.read();
    }
    arrivedJobs.take();
    advance(DELAY_MILLIS);
    awaitSettled();
    client.write(request("late"));
    assertEquals(outcome(client), "503");
    assertTrue(arrivedJobs.take().deadline() > now, "the deadline is before the arrival");
  }

  @Override
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    Dispatcher rejecting = super.dispatcher(actions);
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("requestArrived")) {
                arrivedJobs.add((Job) arguments[1]);
              }
              return method.invoke(rejecting, arguments);
            });
  }

  private long turns() throws IOException {
    return metrics("loop_turn.le_").values().stream().mapToLong(Long::longValue).sum();
  }
}
