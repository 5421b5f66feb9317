package ferngrade.discovery;

import java.net.InetSocketAddress;
import java.util.function.BiFunction;

/**
 * Watches the worker list at an address that may change while the node runs. After a change, the
 * last list and the watch that it came from stay in use until the new address has sent a whole
 * list, because the old address may still send changes. From then on only lists from the new
 * address are used, even with lower revision numbers, since the new address may number its
 * revisions independently.
 */
public final class Discovery {
  private final BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener;

  /** The watch of the configured address; null before the first call of {@link #watch}. */
  private DiscoveryWatch current;

  /**
   * The watch of an earlier address, which supplied the list in use. Stays open until the current
   * address has sent a whole list; null if no earlier address is watched.
   */
  private DiscoveryWatch previous;

  /**
   * Creates each watch with {@code opener}, which gets the address and a callback for the first
   * whole list.
   */
  public Discovery(BiFunction<InetSocketAddress, Runnable, DiscoveryWatch> opener) {
    this.opener = opener;
  }

  /** Switches to this address; does nothing if it is already watched. */
  public void watch(InetSocketAddress address) {
    if (current != null && current.address().equals(address)) {
      return;
    }
    retireCurrent();
    if (previous != null && previous.address().equals(address)) {
      // The configuration returns to the previous address. Its watch is still open, because the
      // address in between has not sent a whole list.
      current = previous;
      previous = null;
      return;
    }
    current = opener.apply(address, this::firstListReceived);
    current.start();
  }

  private void retireCurrent() {
    if (current != null && current.wholeListReceived()) {
      previous = current;
    } else if (current != null) {
      current.stop();
    }
  }

  /** Returns the watched address; null before the first call of {@link #watch}. */
  public InetSocketAddress address() {
    return current == null ? null : current.address();
  }

  /**
   * Reads data that has arrived from the sources of the list and that the event loop has not read
   * yet.
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
   * Stops the previous watch, because the current address has sent its first whole list and the
   * previous address must not change that list.
   */
  private void firstListReceived() {
    if (previous != null) {
      previous.stop();
      previous = null;
    }
  }
}
