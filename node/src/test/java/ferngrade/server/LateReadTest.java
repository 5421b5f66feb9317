package ferngrade.server;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import ferngrade.config.NodeConfig;
import ferngrade.dispatch.Dispatcher;
import ferngrade.dispatch.Job;
import ferngrade.http.ArrivalClock;
import ferngrade.http.RawHttp;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import io.netty.channel.SelectStrategy;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
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

  /** The connections of operators and other processes that may be open at a time. */
  private static final int PLACES = 32;

  private static final double STORE_TIMEOUT = 700;
  private static final double CALLER_WAITS = 1000;

  /** What is left to the callers that wait longest when their calls are accepted, ms. */
  private static final double LAST_BATCH = 100;

  private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
  private volatile double now;
  private volatile CountDownLatch held;
  private volatile CountDownLatch release;
  private volatile CountDownLatch maintenance;
  private Path folder;
  private NodeServer node;

  @BeforeMethod
  public void start() throws Exception {
    now = 1000;
    jobs.clear();
    maintenance = new CountDownLatch(1);
    folder = Files.createTempDirectory("late");
    String config =
        "{'name':'n0','listen':'127.0.0.1:0','admin':'127.0.0.1:0','discovery':'127.0.0.1:1',"
            + "'seed':'7','limits':{'sockets':64},"
            + "'known':{'revision':1,'complete':true,'members':[{'id':'s-1','host_port':'127.0.0.1:1',"
            + "'locality':'z','flavor':'k','phase':'active','size':1,'up_since_ms':0}]},"
            + "'settings':{'Zones':['z'],'Kinds':['k'],'Tenants':[{'Name':'t','Share':1}],"
            + "'Classes':[{'Name':'order','Effect':'at_most_once','Deadline':9000.0}]}}";
    node =
        NodeServer.start(
            NodeConfig.read(Json.parse(config.replace('\'', '"')).asObject()),
            new NodeServer.Platform(null, folder),
            () -> now,
            new RateLimitedLog(() -> now, this::log),
            (told, at, actions) -> refusing(actions),
            ChannelProvider.SOCKETS);
  }

  /** Lets time pass on the clock; the test and the loop may both do so. */
  private synchronized void advance(double millis) {
    now += millis;
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    Files.createDirectories(folder);
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
    if (line.endsWith("taken out by operators")) {
      maintenance.countDown();
    }
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

  /** Fails where the wait for the disk begins when a late call is read: its caller has gone. */
  @Test
  public void operatorsCallThatIsReadLateIsAnsweredWithinTheSecondOfItsCaller() throws Exception {
    while (!call("GET /-/metrics").read().body().contains("menu_workers_known=1\n")) {
      Thread.onSpinWait();
    }
    Files.delete(folder);
    hold();
    try (RawHttp caller = call("POST /-/menu-workers/s-1/disable")) {
      advance(BUSY);
      release.countDown();
      maintenance.await();
      // Behind the turn that has handled the call.
      hold();
      advance(100);
      release.countDown();
      assertEquals(caller.read().status(), 503);
    }
  }

  /**
   * Fails where the wait for the disk of a call that waited for its connection to be accepted
   * begins at the accept: three times as many calls come as have a place, all at once.
   */
  @Test
  public void operatorsCallsThatWaitForAPlaceAreAnsweredWithinTheSecondOfTheirCallers()
      throws Exception {
    while (!call("GET /-/metrics").read().body().contains("menu_workers_known=1\n")) {
      Thread.onSpinWait();
    }
    Files.delete(folder);
    List<RawHttp> callers = new ArrayList<>();
    for (int i = 0; i < 2 * PLACES + 1; i++) {
      callers.add(call("POST /-/menu-workers/s-1/disable"));
    }
    passTurns("a");
    advance(STORE_TIMEOUT);
    assertEquals(callers.get(0).read().status(), 503);
    passTurns("b");
    advance(CALLER_WAITS - STORE_TIMEOUT - LAST_BATCH);
    assertEquals(callers.get(PLACES).read().status(), 503);
    passTurns("c");
    advance(LAST_BATCH);
    assertEquals(callers.get(2 * PLACES).read().status(), 503);
    for (RawHttp each : callers) {
      each.close();
    }
  }

  /** Returns once the loop has accepted, read and handled what had come before. */
  private void passTurns(String id) throws IOException {
    try (RawHttp client = RawHttp.to(node.address())) {
      for (int i = 0; i < 4; i++) {
        client.write(job(id + i)).read();
      }
    }
  }

  private RawHttp call(String line) throws IOException {
    return RawHttp.to(node.adminAddress()).write(line + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
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
