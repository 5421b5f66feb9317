package ferngrade.review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A connection of a client, an operator or a call-back, with a time-out for each read. */
public final class Connection implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 2000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** Connects to {@code address}, in the form HOST:PORT. */
  public Connection(String address, int readTimeoutMillis) throws IOException {
    String[] parts = address.split(":");
    socket.connect(
        new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), CONNECT_TIMEOUT_MILLIS);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(readTimeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Writes a message with a Content-Length. */
  public void write(String head, String body) throws IOException {
    writeText(head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Writes a text as it is. */
  public void writeText(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads a message; returns null if the peer has closed the connection. */
  public HttpMessage read() throws IOException {
    return HttpMessage.read(in);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
