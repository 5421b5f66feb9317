package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;

import com.eclipsesource.json.Json;
import ferngrade.config.NodeConfig;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * The event loop of a process that ends is held up, and requests and operators' calls reach the
 * machine meanwhile: on connections that wait to be accepted, and on ones that have carried no job
 * yet. When the loop goes on, its next step is to close both. The listening socket was closed with
 * the connections that waited there, which resets them; what lay on the others was read and
 * dropped. An operator's call that ends so binds the node all the same, one second after it was
 * made, and nobody knew of it (upgrade soak, seed 121).
 */
@Test(timeOut = 30_000)
public class WaitingAtShutdownTest {
  private static final String NO_MORE_JOBS = "no more jobs are accepted";
  private static final String SHUTDOWN_ENDS = "shutdown ends";

  private static final int REJECTED = 503;
  private static final int YES = 200;

  private CountDownLatch held;
  private CountDownLatch release;
  private volatile String holdAt;
  private volatile boolean holding;
  private NodeServer node;
  private CompletableFuture<Void> stopped;

  @BeforeMethod
  public void start() throws Exception {
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    holdAt = null;
    holding = false;
    Path folder = Files.createTempDirectory("waiting");
    String config =
        "{'name':'n0','listen':'127.0.0.1:0','admin':'127.0.0.1:0','discovery':'127.0.0.1:1',"
            + "'seed':'7','limits':{'sockets':128},"
            + "'known':{'revision':1,'complete':true,'members':[{'id':'s-1','host_port':'127.0.0.1:1',"
            + "'locality':'z','flavor':'k','phase':'active','size':1,'up_since_ms':0}]},"
            + "'settings':{'Zones':['z'],'Kinds':['k'],'Tenants':[{'Name':'t','Share':1}],"
            + "'Classes':[{'Name':'order','Effect':'at_most_once','Deadline':9000.0}]}}";
    Clock clock = Clock.system();
    node =
        NodeServer.start(
            NodeConfig.read(Json.parse(config.replace('\'', '"')).asObject()),
            new NodeServer.Platform(null, folder),
            clock,
            new RateLimitedLog(clock, this::log));
  }

  @AfterMethod(alwaysRun = true)
  public void end() throws Exception {
    release.countDown();
    stopped.get();
  }

  /** Runs on the loop and keeps it busy at one line, until the test lets it go on. */
  private void log(String line) {
    if (holdAt != null && line.startsWith(holdAt) && !holding) {
      holding = true;
      held.countDown();
      try {
        release.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  private void stopAndHoldAt(String line) throws InterruptedException {
    holdAt = line;
    stopped =
        CompletableFuture.runAsync(
            () -> {
              try {
                node.stop(0);
              } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
              }
            });
    held.await();
  }

  private static String job(String id) {
    return RawHttp.message(
        "POST /api HTTP/1.1\r\nReq-Id: "
            + id
            + "\r\nReq-Kind: order\r\nReq-Owner: t\r\nReq-Deadline: 9000m",
        "");
  }

  @Test
  public void requestsThatReachedTheMachineAreRejectedAndNotDropped() throws Exception {
    try (RawHttp idle = RawHttp.to(node.address())) {
      idle.write(RawHttp.message("GET /-/ready HTTP/1.1", "")).read();
      stopAndHoldAt(NO_MORE_JOBS);
      idle.write(job("a"));
      try (RawHttp waiting = RawHttp.to(node.address())) {
        waiting.write(job("b"));
        release.countDown();
        assertRejected(idle);
        assertRejected(waiting);
      }
    }
  }

  private static void assertRejected(RawHttp client) throws Exception {
    RawHttp.Message answer = client.read();
    assertNotNull(answer, "the connection ended without an answer");
    assertEquals(answer.status(), REJECTED);
  }

  @Test
  public void operatorsCallThatReachedTheMachineIsAnswered() throws Exception {
    stopAndHoldAt(SHUTDOWN_ENDS);
    try (RawHttp waiting = RawHttp.to(node.adminAddress())) {
      waiting.write(RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", ""));
      release.countDown();
      assertEquals(waiting.read().status(), YES);
    }
  }

  @Test
  public void operatorsCallThatComesOnAnOpenConnectionIsAnswered() throws Exception {
    try (RawHttp open = RawHttp.to(node.adminAddress())) {
      open.write("POST /-/menu-workers/s-1/disable HTTP/1.1\r\n");
      stopAndHoldAt(SHUTDOWN_ENDS);
      release.countDown();
      open.write("Content-Length: 0\r\n\r\n");
      assertEquals(open.read().status(), YES);
    }
  }
}
