package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;

import com.eclipsesource.json.Json;
import ferngrade.config.NodeConfig;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.node.RateLimitedLog;
import ferngrade.transport.ChannelProvider;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketException;
import java.nio.channels.ServerSocketChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests and operators' calls that a process that ends resets or drops. */
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
  private volatile Callable<?> beforeClose;
  private NodeServer node;
  private CompletableFuture<Void> stopped;

  @BeforeMethod
  public void start() throws Exception {
    held = new CountDownLatch(1);
    release = new CountDownLatch(1);
    holdAt = null;
    holding = false;
    beforeClose = null;
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
            new RateLimitedLog(clock, this::log),
            channels());
  }

  /** Ordinary sockets, but for the operators' listener, which runs {@link #beforeClose} first. */
  private ChannelProvider channels() {
    return new ChannelProvider() {
      @Override
      public ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
        return purpose == Purpose.ADMIN
            ? new ClosingListener()
            : ChannelProvider.SOCKETS.listener(purpose, inherited);
      }
    };
  }

  /** A listener that lets something happen after the last look at it and before its close. */
  private final class ClosingListener extends NioServerSocketChannel {
    @Override
    protected void doClose() throws Exception {
      if (beforeClose != null) {
        beforeClose.call();
      }
      super.doClose();
    }
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

  /** Fails where a call that this process can't answer any more seems answered, or hangs. */
  @Test
  public void operatorsCallBehindTheLastLookIsResetAndGetsNoYes() throws Exception {
    CompletableFuture<RawHttp> late = new CompletableFuture<>();
    beforeClose =
        () -> {
          RawHttp caller = RawHttp.to(node.adminAddress());
          caller.write(RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", ""));
          return late.complete(caller);
        };
    stopAndHoldAt(SHUTDOWN_ENDS);
    release.countDown();
    try (RawHttp caller = late.get()) {
      assertThrows(SocketException.class, caller::read);
    }
  }
}
