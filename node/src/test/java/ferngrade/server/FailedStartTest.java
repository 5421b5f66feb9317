package ferngrade.server;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.JsonObject;
import ferngrade.config.NodeConfig;
import ferngrade.http.RawHttp;
import ferngrade.node.Clock;
import ferngrade.transport.ChannelProvider;
import ferngrade.transport.Errno;
import ferngrade.transport.FaultInjectingChannels;
import ferngrade.transport.FaultInjectingChannels.SystemCall;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.SocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.testng.annotations.Test;

/** Guards against a failed start that keeps the addresses which its retry needs. */
public class FailedStartTest extends NodeIntegrationFixture {
  /** The maximum time for which the event loop is held while the failed start ends. */
  private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  /**
   * Fails the first start: the clients' listener is bound, the operators' listener cannot be
   * opened, and a task holds the event loop while the start ends.
   */
  private static final class FirstStartFails implements ChannelProvider {
    private final FaultInjectingChannels faults = new FaultInjectingChannels();

    FirstStartFails() {
      faults.fail(Purpose.ADMIN, SystemCall.SOCKET, Errno.EMFILE, FaultInjectingChannels.once());
    }

    @Override
    public ServerChannel listener(Purpose purpose, ServerSocketChannel inherited) {
      if (purpose == Purpose.ADMIN || faults.injectedFaults.get() > 0) {
        return faults.listener(purpose, inherited);
      }
      return new NioServerSocketChannel() {
        @Override
        protected void doBind(SocketAddress address) throws Exception {
          super.doBind(address);
          eventLoop().execute(() -> holdUntilShutdown(eventLoop()));
        }
      };
    }

    /** Holds the loop until it begins to end; a loop that ends now has no further turn. */
    private static void holdUntilShutdown(EventLoop loop) {
      long startNanos = System.nanoTime();
      while (!loop.isShuttingDown() && System.nanoTime() - startNanos < MAX_HOLD_NANOS) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
      }
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  @Test(timeOut = 30_000)
  public void retryBindsTheAddressOfAFailedStart() throws Exception {
    FirstStartFails firstStartFails = new FirstStartFails();
    channels = firstStartFails;
    int port = freePort();
    JsonObject configuration =
        configuration(discovery.getLocalPort(), endpointList(1, "active"), "push");
    configuration.set("listen", "127.0.0.1:" + port);
    start(NodeConfig.read(configuration), Clock.system());
    assertEquals(firstStartFails.faults.injectedFaults.get(), 1);
    assertEquals(node.address().getPort(), port);
    try (RawHttp client = RawHttp.connect(node.address())) {
      awaitReadyStatus(client, 200);
    }
  }
}
