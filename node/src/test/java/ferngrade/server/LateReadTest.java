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
 * Guards against deadlines and timeouts that start when a busy event loop reads a request instead
 * of when the request arrived. The test controls the clock.
 */
@Test(timeOut = 30_000)
public class LateReadTest {
  private static final double DEADLINE_MILLIS = 9000;
  private static final double BUSY_MILLIS = 700;

  /** The maximum number of open connections of operators and other processes. */
  private static final int MAX_CONNECTIONS = 32;

  private static final double STORE_TIMEOUT_MILLIS = 700;
  private static final double CALLER_TIMEOUT_MILLIS = 1000;

  /**
   * The time, in ms, between the accept of the last batch of calls and the timeout of their
   * callers.
   */
  private static final double LAST_BATCH_MILLIS = 100;

  private final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
  private volatile double now;
  private volatile CountDownLatch blockReached;
  private volatile CountDownLatch blockReleased;
  private volatile CountDownLatch maintenanceApplied;
  private Path stateFolder;
  private NodeServer node;

  @BeforeMethod
  public void start() throws Exception {
    now = 1000;
    jobs.clear();
    maintenanceApplied = new CountDownLatch(1);
    stateFolder = Files.createTempDirectory("late");
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
            new NodeServer.Platform(null, stateFolder),
            () -> now,
            new RateLimitedLog(() -> now, this::onLogLine),
            (nodeConfig, startTime, actions) -> rejectingDispatcher(actions),
            ChannelProvider.SOCKETS);
  }

  /** Advances the clock; called by the test and by the event loop. */
  private synchronized void advance(double millis) {
    now += millis;
  }

  @AfterMethod(alwaysRun = true)
  public void tearDown() throws Exception {
    Files.createDirectories(stateFolder);
    node.stop(0);
  }

  private Dispatcher rejectingDispatcher(Dispatcher.Actions actions) {
    return (Dispatcher)
        Proxy.newProxyInstance(
            getClass().getClassLoader(),
            new Class<?>[] {Dispatcher.class},
            (proxy, method, arguments) -> {
              if (method.getName().equals("requestArrived")) {
                Job job = (Job) arguments[1];
                jobs.add(job);
                actions.reject(job.id(), 0);
              }
              return method.getReturnType() == int.class ? 0 : null;
            });
  }

  /** Receives log lines on the event loop, which the line "hold" blocks until it is released. */
  private void onLogLine(String line) {
    if (line.endsWith("taken out by operators")) {
      maintenanceApplied.countDown();
    }
    if (line.equals("hold")) {
      blockReached.countDown();
      try {
        blockReleased.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  private void blockLoop() throws InterruptedException {
    blockReached = new CountDownLatch(1);
    blockReleased = new CountDownLatch(1);
    node.report("hold");
    blockReached.await();
  }

  private static String jobRequest(String id) {
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
      {"waits to be accepted", false}, {"was kept open after an earlier request", true}
    };
  }

  @Test(dataProvider = "connections")
  public void deadlineStartsAtArrivalOnConnectionThat(String state, boolean keptOpen)
      throws Exception {
    RawHttp client = null;
    if (keptOpen) {
      client = RawHttp.connect(node.address());
      client.write(jobRequest("a")).read();
      jobs.take();
    }
    blockLoop();
    try (RawHttp connection = client == null ? RawHttp.connect(node.address()) : client) {
      connection.write(jobRequest("b"));
      advance(BUSY_MILLIS);
      blockReleased.countDown();
      connection.read();
      assertEquals(jobs.take().deadline(), 1000 + DEADLINE_MILLIS, state);
    }
  }

  /**
   * Guards against a store timeout that starts only when a delayed call is read. The caller would
   * time out before the answer.
   */
  @Test
  public void answersOperatorsCallThatIsReadLateWithinCallerTimeout() throws Exception {
    while (!call("GET /-/metrics").read().body().contains("menu_workers_known=1\n")) {
      Thread.onSpinWait();
    }
    Files.delete(stateFolder);
    blockLoop();
    try (RawHttp caller = call("POST /-/menu-workers/s-1/disable")) {
      advance(BUSY_MILLIS);
      blockReleased.countDown();
      maintenanceApplied.await();
      // Blocks the loop after the turn that has handled the call.
      blockLoop();
      advance(100);
      blockReleased.countDown();
      assertEquals(caller.read().status(), 503);
    }
  }

  /**
   * Guards against a store timeout that starts when a waiting connection is accepted. More than
   * twice as many calls as the node accepts at a time arrive at once.
   */
  @Test
  public void answersOperatorsCallsThatWaitToBeAcceptedWithinCallerTimeout() throws Exception {
    while (!call("GET /-/metrics").read().body().contains("menu_workers_known=1\n")) {
      Thread.onSpinWait();
    }
    Files.delete(stateFolder);
    List<RawHttp> callers = new ArrayList<>();
    for (int i = 0; i < 2 * MAX_CONNECTIONS + 1; i++) {
      callers.add(call("POST /-/menu-workers/s-1/disable"));
    }
    awaitLoopTurns("a");
    advance(STORE_TIMEOUT_MILLIS);
    assertEquals(callers.get(0).read().status(), 503);
    awaitLoopTurns("b");
    advance(CALLER_TIMEOUT_MILLIS - STORE_TIMEOUT_MILLIS - LAST_BATCH_MILLIS);
    assertEquals(callers.get(MAX_CONNECTIONS).read().status(), 503);
    awaitLoopTurns("c");
    advance(LAST_BATCH_MILLIS);
    assertEquals(callers.get(2 * MAX_CONNECTIONS).read().status(), 503);
    for (RawHttp caller : callers) {
      caller.close();
    }
  }

  /** Returns once the loop has accepted, read and handled all earlier input. */
  private void awaitLoopTurns(String id) throws IOException {
    try (RawHttp client = RawHttp.connect(node.address())) {
      for (int i = 0; i < 4; i++) {
        client.write(jobRequest(id + i)).read();
      }
    }
  }

  private RawHttp call(String line) throws IOException {
    return RawHttp.connect(node.adminAddress())
        .write(line + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  }

  @Test
  public void requestThatWakesTheLoopArrivesWhenTheWaitEnds() throws Exception {
    ArrivalClock arrivals = new ArrivalClock(() -> now);
    assertEquals(arrivals.calculateStrategy(() -> 0, false), SelectStrategy.SELECT);
    advance(BUSY_MILLIS);
    assertEquals(arrivals.earliestArrival(), 1000 + BUSY_MILLIS);
    advance(BUSY_MILLIS);
    assertEquals(
        arrivals.earliestArrival(), 1000 + BUSY_MILLIS, "the turn begins when the wait ends");
    assertEquals(arrivals.calculateStrategy(() -> 1, false), 1);
    assertEquals(
        arrivals.earliestArrival(),
        1000 + BUSY_MILLIS,
        "input that arrived during the previous turn");
  }
}
