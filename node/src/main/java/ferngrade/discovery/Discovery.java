package ferngrade.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;

/**
 * Where the worker list comes from, which may move while the node runs. The last list stays in
 * force until the new address has told one, and so does the watch that it came from: changes may
 * still come there. From then on only the new address counts, whatever its revisions are: they may
 * start elsewhere.
 */
public final class Discovery {
  private final BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener;
  private final List<DiscoveryWatch> earlier = new ArrayList<>();
  private DiscoveryWatch current;

  /**
   * Makes watches by {@code opener}, from an address and what to run when it has told its first
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

  /**
   * Reads at once what the sources of the list have told and the event loop has not come to read.
   */
  public void readPending() {
    // A list that is read may end the earlier watches.
    new ArrayList<>(earlier).forEach(DiscoveryWatch::readPending);
    if (current != null) {
      current.readPending();
    }
  }

  /**
   * The present address has told its first list, which the earlier ones must not change any more.
   */
  private void listed() {
    earlier.forEach(DiscoveryWatch::stop);
    earlier.clear();
  }
}
