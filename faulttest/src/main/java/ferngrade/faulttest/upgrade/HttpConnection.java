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
 * A blocking connection that carries one HTTP/1.1 call after the other. The harness decides when it
 * is opened and closed, which clients of the libraries keep to themselves.
 */
final class HttpConnection implements AutoCloseable {
  private final Socket socket = new Socket();
  private final InputStream in;
  private boolean reusable = true;

  /** An answer: its status and whether the connection ends behind it. */
  record Response(int status, boolean closes, String body) {}

  /** Connects within {@code timeout} ms. */
  HttpConnection(InetSocketAddress address, int timeout) throws IOException {
    socket.connect(address, timeout);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Writes a whole call: the request line's method and path, headers that end lines, a body. */
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
   * Reads the answer; a {@link java.net.SocketTimeoutException} says that none came within {@code
   * timeout} ms, an {@link EOFException} that the connection ended before its first byte.
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
   * Writes a call on a connection of its own and reads its answer, all within {@code timeout} ms.
   */
  static Response call(InetSocketAddress address, String request, String body, int timeout)
      throws IOException {
    long end = System.nanoTime() + timeout * 1_000_000L;
    try (HttpConnection connection = new HttpConnection(address, timeout)) {
      connection.write(request, "Connection: close\r\n", body);
      return connection.read((end - System.nanoTime()) / 1_000_000);
    }
  }

  /** True if the other side has ended the connection, which carries no call. */
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

  /** True while another call may be written, as far as is known without reading. */
  boolean reusable() {
    return reusable;
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("the connection has ended");
      }
      line.append((char) c);
    }
    return line.toString().strip();
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException ended) {
      // It has ended, which is what was asked for.
    }
  }
}
