package ferngrade.faulttest.upgrade;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/**
 * A blocking connection that carries HTTP/1.1 calls one after the other. The harness controls when
 * the connection is opened and closed, which HTTP client libraries do not expose.
 */
final class HttpConnection implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;
  private boolean reusable = true;

  /** A response: its status, whether the connection closes after it, and its body. */
  record Response(int status, boolean closes, String body) {}

  /** Connects within {@code timeout} ms. */
  HttpConnection(InetSocketAddress address, int timeout) throws IOException {
    socket.connect(address, timeout);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Writes a complete request: method and path, headers with line ends, and body. */
  void write(String request, String headers, String body) throws IOException {
    String message =
        request
            + " HTTP/1.1\r\nHost: node\r\nContent-Length: "
            + body.length()
            + "\r\n"
            + headers
            + "\r\n"
            + body;
    socket.getOutputStream().write(message.getBytes(StandardCharsets.US_ASCII));
  }

  /**
   * Reads the response; throws a {@link java.net.SocketTimeoutException} if nothing arrives within
   * {@code timeout} ms, and an {@link EOFException} if the connection closes before the end of the
   * head.
   */
  Response read(long timeout) throws IOException {
    socket.setSoTimeout((int) Math.max(1, timeout));
    String status = line();
    int length = 0;
    boolean closes = false;
    for (String line = line(); !line.isEmpty(); line = line()) {
      String header = line.toLowerCase(Locale.ROOT);
      if (header.startsWith("content-length:")) {
        length = Integer.parseInt(header.substring("content-length:".length()).strip());
      } else if (header.startsWith("connection:")) {
        closes = header.endsWith("close");
      }
    }
    String body = new String(in.readNBytes(length), StandardCharsets.US_ASCII);
    reusable = !closes;
    return new Response(Integer.parseInt(status.split(" ", 3)[1]), closes, body);
  }

  /**
   * Makes a call on a separate connection and reads the response, all within {@code timeout} ms.
   */
  static Response call(InetSocketAddress address, String request, String body, int timeout)
      throws IOException {
    long end = System.nanoTime() + timeout * 1_000_000L;
    try (HttpConnection connection = new HttpConnection(address, timeout)) {
      connection.write(request, "Connection: close\r\n", body);
      return connection.read((end - System.nanoTime()) / 1_000_000);
    }
  }

  /** Returns whether the peer has closed the connection. The connection must be idle. */
  boolean endedByPeer() {
    try {
      socket.setSoTimeout(1);
      in.mark(1);
      boolean ended = in.read() < 0;
      in.reset();
      if (ended) {
        close();
      }
      return ended;
    } catch (SocketTimeoutException open) {
      return false;
    } catch (IOException broken) {
      close();
      return true;
    }
  }

  /** Returns whether another request may be written, as far as is known without reading. */
  boolean reusable() {
    return reusable;
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int character = in.read(); character != '\n'; character = in.read()) {
      if (character < 0) {
        throw new EOFException("the connection has ended");
      }
      line.append((char) character);
    }
    return line.toString().strip();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException closed) {
      // The connection is already broken, so there is nothing left to close.
    }
  }
}
