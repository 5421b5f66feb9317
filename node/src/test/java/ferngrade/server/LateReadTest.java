package ferngrade.server;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.NodeConfig;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.http.ArrivalClock;
import ferngrade.http.RawHttp;
import ferngrade.node.RateLimitedLog;
import io.netty.channel.SelectStrategy;
import java.lang.reflect.Proxy;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A request's time counts from when it came, though a busy loop reads it later. The clock is the
 * story's.
 */
@Test(timeOut = 30_000)
public class LateReadTest {
  private static final double DEADLINE = 9000;
  private static final double BUSY = 700;
  private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
  private volatile double now;
  private volatile CountDownLatch held;
  private volatile CountDownLatch release;
  private NodeServer node;

  @BeforeMethod
  public void start() throws Exception {
    now = 1000;
    jobs.clear();
    String config =
        "{'name':'n0','listen':'127.0.0.1:0','discovery':'127.0.0.1:1','seed':'7','limits':{'sockets':64},"
            + "'settings':{'Zones':['z'],'Kinds':['k'],'Tenants':[{'Name':'t','Share':1}],"
            + "'Classes':[{'Name':'order','Effect':'at_most_once','Deadline':9000.0}]}}";
    node =
        NodeServer.start(
            NodeConfig.read(Json.parse(config.replace('\'', '"')).asObject()),
            () -> now,
            new RateLimitedLog(() -> now, this::log),
            (told, at, actions) -> refusing(actions));
  }

  /** Lets time pass on the clock; the test and the loop may both do so. */
  private synchronized void advance(double millis) {
    now += millis;
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    node.stop(0);
  }

  private Dispatcher refusing(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (self, method, with) -> {
              if (method.getName().equals("arrived")) {
                Job job = (Job) with[1];
                jobs.add(job);
                actions.refuse(job.id(), 0);
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  /** Runs on the loop: the line "hold" keeps it busy until the story lets it go. */
  private void log(String line) {
    if (line.equals("hold")) {
      held.countDown();
      try {
        release.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  private void hold() throws InterruptedException {
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    node.report("hold");
    held.await();
  }

  private static String job(String id) {
    return RawHttp.message(
        "POST /api HTTP/1.1\r\nReq-Id: "
            + id
            + "\r\nReq-Kind: order\r\nReq-Owner: t\r\n"
            + "Req-Deadline: 9000m",
        "");
  }

  @DataProvider
  public Object[][] connections() {
    return new Object[][] {
      {"waits to be accepted", false}, {"is kept from an earlier request", true}
    };
  }

  @Test(dataProvider = "connections")
  public void aRequestIsDueAsItCameOnAConnectionThat(String how, boolean earlier) throws Exception {
    RawHttp client = null;
    if (earlier) {
      client = RawHttp.to(node.address());
      client.write(job("a")).read();
      jobs.take();
    }
    hold();
    try (RawHttp held = client == null ? RawHttp.to(node.address()) : client) {
      held.write(job("b"));
      advance(BUSY);
      release.countDown();
      held.read();
      assertEquals(jobs.take().due(), 1000 + DEADLINE, how);
    }
  }

  @Test
  public void aLoopThatWaitedTakesNoTimeFromTheRequestThatWakesIt() throws Exception {
    ArrivalClock arrivals = new ArrivalClock(() -> now);
    assertEquals(arrivals.calculateStrategy(() -> 0, false), SelectStrategy.SELECT);
    advance(BUSY);
    assertEquals(arrivals.since(), 1000 + BUSY);
    advance(BUSY);
    assertEquals(arrivals.since(), 1000 + BUSY, "the turn began when its wait was over");
    assertEquals(arrivals.calculateStrategy(() -> 1, false), 1);
    assertEquals(arrivals.since(), 1000 + BUSY, "what came while the turn before was at work");
  }
}
