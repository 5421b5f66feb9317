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
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a client whose many requests, sent at once, hold up the event loop. */
@Test(timeOut = 30_000)
public class PipelinedFloodTest extends HeldLoopFixture {
  private static final String READY = "GET /-/ready HTTP/1.1\r\n\r\n";
  private static final String UNKNOWN_CLASS = RawHttp.message(job("POST /api", "u", "nothing"), "");
  private static final int FLOOD = 2000;

  /** Requests that one turn of the loop may handle for one client. */
  private static final int MOST_IN_A_TURN = 50;

  private static final double LATER = 60_000;

  private final BlockingQueue<Job> arrived = new LinkedBlockingQueue<>();

  @DataProvider
  public Object[][] floods() {
    return new Object[][] {
      {UNKNOWN_CLASS, "400", "503"}, {request("a"), "503", "200"}, {READY, "200", "200"}
    };
  }

  /** Fails where one turn decodes and answers all that a client has sent. */
  @Test(dataProvider = "floods")
  public void requestsSentAtOnceAreAnsweredInManyTurns(String first, String answer, String next)
      throws Exception {
    start(64);
    RawHttp client = connect(node.address(), "");
    settled();
    long before = turns();
    hold();
    client.write(first + READY.repeat(FLOOD));
    release.countDown();
    assertEquals(outcome(client), answer);
    assertEquals(outcome(client), next);
    int answers = 2;
    for (String last = next; !last.equals("closed") && answers <= FLOOD; answers++) {
      last = outcome(client);
      assertTrue(List.of("200", "503", "closed").contains(last), last);
    }
    assertTrue(answers <= (turns() - before) * MOST_IN_A_TURN, answers + " in few turns");
  }

  /** Fails where reads that were put off make a later request older than it is. */
  @Test
  public void requestBehindAFloodIsDueAsItCame() throws Exception {
    start(64);
    RawHttp client = connect(node.address(), request("first") + READY.repeat(FLOOD));
    for (int i = 0; i <= FLOOD; i++) {
      client.read();
    }
    arrived.take();
    advance(LATER);
    settled();
    client.write(request("late"));
    assertEquals(outcome(client), "503");
    assertTrue(arrived.take().due() > now, "due before it came");
  }

  @Override
  Dispatcher dispatcher(Dispatcher.Actions actions) {
    Dispatcher refusing = super.dispatcher(actions);
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (self, method, with) -> {
              if (method.getName().equals("arrived")) {
                arrived.add((Job) with[1]);
              }
              return method.invoke(refusing, with);
            });
  }

  private long turns() throws IOException {
    RawHttp call = connect(node.adminAddress(), "GET /-/metrics HTTP/1.1\r\n\r\n");
    return Stream.of(call.read().body().split("\n", -1))
        .filter(line -> line.startsWith("loop_turn.le_"))
        .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
        .sum();
  }
}
