package ferngrade.transport;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketException;

/** Linux errors as the Java runtime reports them for socket calls. */
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
   * Returns the exception that {@code socket} and {@code connect} throw; the Java runtime uses
   * specific exception types for some errors.
   */
  IOException ofConnect() {
    return switch (this) {
      case EADDRNOTAVAIL -> new BindException(message);
      case ECONNREFUSED, ETIMEDOUT -> new ConnectException(message);
      case EHOSTUNREACH -> new NoRouteToHostException(message);
      default -> new SocketException(message);
    };
  }

  /**
   * Returns the exception that {@code accept}, {@code read} and {@code write} throw; only its
   * message identifies the error.
   */
  IOException ofTransfer() {
    return new IOException(message);
  }
}
