package ferngrade.discovery;

import java.net.InetSocketAddress;
import java.util.function.BiFunction;

/**
 * Where the worker list comes from, which may move while the node runs. The last list stays in
 * force until the new address has told one, and so does the watch that it came from: changes may
 * still come there. From then on only the new address counts, whatever its revisions are: they may
 * start elsewhere.
 */
public final class Discovery {
  private final BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener;

  /** The address that the node is to watch. */
  private DiscoveryWatch current;

  /**
   * The watch that the list in force came from while the present address has told none, otherwise
   * null.
   */
  private DiscoveryWatch previous;

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
    leaveCurrent();
    if (previous != null && previous.address().equals(address)) {
      // Back before the address between has told anything: the watch there never ended.
      current = previous;
      previous = null;
      return;
    }
    current = opener.apply(address, this::listed);
    current.start();
  }

  private void leaveCurrent() {
    if (current != null && current.listed()) {
      previous = current;
    } else if (current != null) {
      current.stop();
    }
  }

  /** The address that is watched; null before the first. */
  public InetSocketAddress address() {
    return current == null ? null : current.address();
  }

  /**
   * Reads at once what the sources of the list have told and the event loop has not come to read.
   */
  public void readPending() {
    if (previous != null) {
      previous.readPending();
    }
    if (current != null) {
      current.readPending();
    }
  }

  /**
   * The present address has told its first list, which the previous one must not change any more.
   */
  private void listed() {
    if (previous != null) {
      previous.stop();
      previous = null;
    }
  }
}
