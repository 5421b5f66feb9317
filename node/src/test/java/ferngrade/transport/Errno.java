package ferngrade.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Errors of Linux, as the runtime reports them for the calls of a socket. */
public enum Errno {
  ECONNABORTED("Software caused connection abort"),
  EMFILE("Too many open files"),
  ENFILE("Too many open files in system"),
  ENOBUFS("No buffer space available"),
  ENOMEM("Cannot allocate memory"),
  EADDRNOTAVAIL("Cannot assign requested address"),
  ENETUNREACH("Network is unreachable"),
  ECONNREFUSED("Connection refused"),
  ETIMEDOUT("Connection timed out"),
  EHOSTUNREACH("No route to host"),
  ECONNRESET("Connection reset");

  final String message;

  Errno(String message) {
    this.message = message;
  }

  /**
   * As {@code socket} and {@code connect} report it: the runtime gives some errors a type of their
   * own.
   */
  IOException ofConnect() {
    return switch (this) {
      case EADDRNOTAVAIL -> new BindException(message);
      case ECONNREFUSED, ETIMEDOUT -> new ConnectException(message);
      case EHOSTUNREACH -> new NoRouteToHostException(message);
      default -> new SocketException(message);
    };
  }

  /** As {@code accept}, {@code read} and {@code write} report it: text alone. */
  IOException ofTransfer() {
    return new IOException(message);
  }
}
