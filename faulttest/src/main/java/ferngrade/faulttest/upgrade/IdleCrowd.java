package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections of clients that send nothing. Each that the node ends is opened anew after a while.
 */
final class IdleCrowd extends BackgroundLoop {
  private static final long INTERVAL = 100;
  private static final int CONNECT_TIMEOUT = 500;

  private final InetSocketAddress address;
  private final int size;
  private final List<HttpConnection> open = new ArrayList<>();

  IdleCrowd(InetSocketAddress address, int size) {
    super("crowd");
    this.address = address;
    this.size = size;
  }

  @Override
  void step() throws InterruptedException {
    open.removeIf(HttpConnection::endedByPeer);
    try {
      while (running() && open.size() < size) {
        open.add(new HttpConnection(address, CONNECT_TIMEOUT));
      }
    } catch (IOException notAccepted) {
      // Tried again in the next step.
    }
    Thread.sleep(INTERVAL);
  }

  @Override
  void ended() {
    open.forEach(HttpConnection::close);
  }
}
