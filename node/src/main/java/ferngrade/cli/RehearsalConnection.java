package ferngrade.cli;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A blocking HTTP connection of a {@link Rehearsal}; a read times out after two seconds. */
final class RehearsalConnection implements AutoCloseable {
  private static final int READ_TIMEOUT_MILLIS = 2000;
  private static final String CONTENT_LENGTH_HEADER = "content-length:";
  private static final String REQUEST_ID_HEADER = "req-id:";

  /**
   * A request or response: its first line, its {@code Req-Id} header (empty if absent), its body.
   */
  record Message(String startLine, String id, String body) {}

  private final Socket socket;
  private final InputStream in;

  RehearsalConnection(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  static RehearsalConnection connect(InetSocketAddress address) throws IOException {
    return new RehearsalConnection(new Socket(address.getAddress(), address.getPort()));
  }

  /** Writes the text as UTF-8. */
  RehearsalConnection write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Writes a message with a {@code Content-Length} header and a body. */
  RehearsalConnection write(String header, String body) throws IOException {
    return write(header + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
  }

  /** Reads the next message; returns null if the peer has closed the connection. */
  Message read() throws IOException {
    String startLine = readLine();
    if (startLine == null) {
      return null;
    }
    int length = 0;
    String id = "";
    for (String line = readLine(); line != null && !line.isEmpty(); line = readLine()) {
      String lower = line.toLowerCase(Locale.ROOT);
      if (lower.startsWith(CONTENT_LENGTH_HEADER)) {
        length = Integer.parseInt(line.substring(CONTENT_LENGTH_HEADER.length()).strip());
      } else if (lower.startsWith(REQUEST_ID_HEADER)) {
        id = line.substring(REQUEST_ID_HEADER.length()).strip();
      }
    }
    return new Message(startLine, id, new String(in.readNBytes(length), StandardCharsets.UTF_8));
  }

  private String readLine() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      line.append((char) next);
    }
    return line.toString().strip();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
