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

/** Guards against requests and operators' calls that a stopping process resets or drops. */
@Test(timeOut = 30_000)
public class WaitingAtShutdownTest {
  private static final String NO_MORE_JOBS_LINE = "no more jobs are accepted";
  private static final String SHUTDOWN_ENDS_LINE = "shutdown ends";

  private static final int REJECTED = 503;
  private static final int OK = 200;

  private CountDownLatch blockReached;
  private CountDownLatch blockReleased;
  private volatile String blockAtLine;
  private volatile boolean loopBlocked;
  private volatile Callable<?> beforeClose;
  private NodeServer node;
  private CompletableFuture<Void> stopped;

  @BeforeMethod
  public void start() throws Exception {
    blockReached = new CountDownLatch(1);
    blockReleased = new CountDownLatch(1);
    blockAtLine = null;
    loopBlocked = false;
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
            new RateLimitedLog(clock, this::onLogLine),
            channels());
  }

  /** Returns ordinary sockets, except for an operators' listener that runs {@link #beforeClose}. */
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

  /** A listener that runs {@link #beforeClose} after its last accept and before its close. */
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
  public void tearDown() throws Exception {
    blockReleased.countDown();
    stopped.get();
  }

  /** Receives log lines on the event loop and blocks it at one line until the test releases it. */
  private void onLogLine(String line) {
    if (blockAtLine != null && line.startsWith(blockAtLine) && !loopBlocked) {
      loopBlocked = true;
      blockReached.countDown();
      try {
        blockReleased.await();
      } catch (InterruptedException interrupted) {
        throw new IllegalStateException(interrupted);
      }
    }
  }

  private void stopAndBlockLoopAt(String line) throws InterruptedException {
    blockAtLine = line;
    stopped =
        CompletableFuture.runAsync(
            () -> {
              try {
                node.stop(0);
              } catch (InterruptedException interrupted) {
                throw new IllegalStateException(interrupted);
              }
            });
    blockReached.await();
  }

  private static String jobRequest(String id) {
    return RawHttp.message(
        "POST /api HTTP/1.1\r\nReq-Id: "
            + id
            + "\r\nReq-Kind: order\r\nReq-Owner: t\r\nReq-Deadline: 9000m",
        "");
  }

  @Test
  public void rejectsRequestsThatWaitInSocketBuffers() throws Exception {
    try (RawHttp idle = RawHttp.connect(node.address())) {
      idle.write(RawHttp.message("GET /-/ready HTTP/1.1", "")).read();
      stopAndBlockLoopAt(NO_MORE_JOBS_LINE);
      idle.write(jobRequest("a"));
      try (RawHttp waiting = RawHttp.connect(node.address())) {
        waiting.write(jobRequest("b"));
        blockReleased.countDown();
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
  public void answersOperatorsCallThatWaitsToBeAccepted() throws Exception {
    stopAndBlockLoopAt(SHUTDOWN_ENDS_LINE);
    try (RawHttp waiting = RawHttp.connect(node.adminAddress())) {
      waiting.write(RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", ""));
      blockReleased.countDown();
      assertEquals(waiting.read().status(), OK);
    }
  }

  @Test
  public void answersOperatorsCallOnOpenConnection() throws Exception {
    try (RawHttp open = RawHttp.connect(node.adminAddress())) {
      open.write("POST /-/menu-workers/s-1/disable HTTP/1.1\r\n");
      stopAndBlockLoopAt(SHUTDOWN_ENDS_LINE);
      blockReleased.countDown();
      open.write("Content-Length: 0\r\n\r\n");
      assertEquals(open.read().status(), OK);
    }
  }

  /**
   * Guards against an operators' call that arrives after the last accept and gets a success
   * response or none at all. The connection of the call must be reset.
   */
  @Test
  public void resetsOperatorsCallAfterTheLastAccept() throws Exception {
    CompletableFuture<RawHttp> late = new CompletableFuture<>();
    beforeClose =
        () -> {
          RawHttp caller = RawHttp.connect(node.adminAddress());
          caller.write(RawHttp.message("POST /-/menu-workers/s-1/disable HTTP/1.1", ""));
          return late.complete(caller);
        };
    stopAndBlockLoopAt(SHUTDOWN_ENDS_LINE);
    blockReleased.countDown();
    try (RawHttp caller = late.get()) {
      assertThrows(SocketException.class, caller::read);
    }
  }
}
