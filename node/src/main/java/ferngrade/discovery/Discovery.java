package ferngrade.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

/**
 * The source of the endpoint list, whose address may change while the node runs. The last list
 * stays in force until the new address has sent one, and so does the watch that it came from, which
 * may still send changes. From then on only the new address counts, whatever its revisions are, as
 * they may start elsewhere. Belongs to the event loop.
 */
public final class Discovery {
  private final BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener;
  private final List<DiscoveryWatch> earlier = new ArrayList<>();
  private DiscoveryWatch current;

  /**
   * Makes watches with {@code opener}, from an address and a task to run when it has sent its first
   * list.
   */
  public Discovery(BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener) {
    this.opener = opener;
  }

  /** Watches this address from here on. */
  public void watch(InetSocketAddress address) {
    if (current != null && current.address().equals(address)) {
      return;
    }
    if (current != null && current.listed()) {
      earlier.add(current);
    } else if (current != null) {
      current.stop();
    }
    current = opener.apply(address, this::listed);
    current.start();
  }

  /** Reads at once what the sources of the list have sent and the event loop has not read yet. */
  public void readPending() {
    // A list that is read may end the earlier watches.
    new ArrayList<>(earlier).forEach(DiscoveryWatch::readPending);
    if (current != null) {
      current.readPending();
    }
  }

  /**
   * The present address has sent its first list, which the earlier ones must not change any more.
   */
  private void listed() {
    earlier.forEach(DiscoveryWatch::stop);
    earlier.clear();
  }
}
