package ferngrade.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.PortUnreachableException;
import java.util.List;

/**
 * Classifies operating system errors by their origin. The Java runtime reports most of them only by
 * their message; this is the only class that evaluates the messages.
 */
public enum FaultOrigin {
  /**
   * This machine lacks a resource: a descriptor, memory, a port or a route. The error reveals
   * nothing about the peer.
   */
  LOCAL,
  /** The peer, or the network to it, does not respond or has refused the connection. */
  PEER,
  /**
   * A connection broke for an unknown reason; the peer may have processed the bytes that were
   * written to it.
   */
  UNKNOWN;

  /**
   * The messages of ENOBUFS, ENOMEM, EMFILE and ENFILE, ENETUNREACH, ENETDOWN, EADDRNOTAVAIL and
   * EAGAIN.
   */
  private static final List<String> LOCAL_SHORTAGE_MESSAGES =
      List.of(
          "No buffer space available",
          "Cannot allocate memory",
          "Too many open files",
          "Network is unreachable",
          "Network is down",
          "Cannot assign requested address",
          "Resource temporarily unavailable");

  /** Classifies an error by the first of its causes that can be classified. */
  public static FaultOrigin of(Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof BindException || isLocalShortage(cause)) {
        return LOCAL;
      }
      if (cause instanceof ConnectException
          || cause instanceof NoRouteToHostException
          || cause instanceof PortUnreachableException) {
        return PEER;
      }
    }
    return UNKNOWN;
  }

  /**
   * Returns true if the error is a local resource shortage that may pass soon. An address that is
   * in use or not permitted is not a temporary shortage.
   */
  public static boolean isTemporaryShortage(Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (isLocalShortage(cause)) {
        return true;
      }
    }
    return false;
  }

  private static boolean isLocalShortage(Throwable error) {
    String message = error instanceof IOException ? error.getMessage() : null;
    return message != null && LOCAL_SHORTAGE_MESSAGES.stream().anyMatch(message::contains);
  }
}
