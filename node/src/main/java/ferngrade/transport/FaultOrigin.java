package ferngrade.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.PortUnreachableException;
import java.util.List;

/**
 * Whose fault an error of the operating system is. The runtime reports most of them by their text
 * alone; this is the one place that reads it.
 */
public enum FaultOrigin {
  /**
   * This machine lacks something: a descriptor, memory, a port, a route. It says nothing about the
   * peer.
   */
  LOCAL,
  /** The peer, or the network to it, does not answer or has refused. */
  PEER,
  /** A connection broke for an unknown reason: what was written to it may have been executed. */
  UNKNOWN;

  /** ENOBUFS, ENOMEM, EMFILE and ENFILE, ENETUNREACH, ENETDOWN, EADDRNOTAVAIL, EAGAIN. */
  private static final List<String> LOCAL_TEXTS =
      List.of(
          "No buffer space available",
          "Cannot allocate memory",
          "Too many open files",
          "Network is unreachable",
          "Network is down",
          "Cannot assign requested address",
          "Resource temporarily unavailable");

  /** Sorts an error, which may be wrapped in others. */
  public static FaultOrigin of(Throwable error) {
    for (Throwable each = error; each != null; each = each.getCause()) {
      if (each instanceof BindException || lacks(each)) {
        return LOCAL;
      }
      if (each instanceof ConnectException
          || each instanceof NoRouteToHostException
          || each instanceof PortUnreachableException) {
        return PEER;
      }
    }
    return UNKNOWN;
  }

  /**
   * True if a lack of this machine may be over in a moment; an address in use, or not permitted, is
   * no such lack.
   */
  public static boolean isPassingLack(Throwable error) {
    for (Throwable each = error; each != null; each = each.getCause()) {
      if (lacks(each)) {
        return true;
      }
    }
    return false;
  }

  private static boolean lacks(Throwable error) {
    String text = error instanceof IOException ? error.getMessage() : null;
    return text != null && LOCAL_TEXTS.stream().anyMatch(text::contains);
  }
}
