package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * A set of client connections that send nothing. A connection that the node closes is reopened at
 * the next step.
 */
final class IdleConnections extends BackgroundLoop {
  private static final long INTERVAL_MILLIS = 100;
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final InetSocketAddress address;
  private final int size;
  private final List<HttpConnection> open = new ArrayList<>();

  IdleConnections(InetSocketAddress address, int size) {
    super("crowd");
    this.address = address;
    this.size = size;
  }

  @Override
  void step() throws InterruptedException {
    open.removeIf(HttpConnection::endedByPeer);
    try {
      while (running() && open.size() < size) {
        open.add(new HttpConnection(address, CONNECT_TIMEOUT_MILLIS));
      }
    } catch (IOException notAccepted) {
      // The connection is opened again in the next step.
    }
    Thread.sleep(INTERVAL_MILLIS);
  }

  @Override
  void onStopped() {
    open.forEach(HttpConnection::close);
  }
}
