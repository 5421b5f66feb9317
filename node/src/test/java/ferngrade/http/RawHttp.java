package ferngrade.http;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * One end of a connection on which a test writes raw bytes and reads HTTP messages. Reads time out
 * after 10 s.
 */
public final class RawHttp implements AutoCloseable {
  private final Socket socket;
  private final InputStream in;

  /** A received message: its first line, its headers and its body. */
  public record Message(String startLine, Map<String, String> headers, String body) {
    public int status() {
      return Integer.parseInt(startLine.split(" ", 3)[1]);
    }
  }

  public RawHttp(Socket socket) throws IOException {
    this.socket = socket;
    socket.setSoTimeout(10_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  public static RawHttp connect(InetSocketAddress address) throws IOException {
    return new RawHttp(new Socket(address.getAddress(), address.getPort()));
  }

  public RawHttp write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  /** Returns the next message, or null at the end of the connection. */
  public Message read() throws IOException {
    String start = line();
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    for (String line = line(); line != null && !line.isEmpty(); line = line()) {
      headers.put(
          line.substring(0, line.indexOf(':')), line.substring(line.indexOf(':') + 1).strip());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    return new Message(start, headers, new String(body, StandardCharsets.UTF_8));
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      line.append((char) c);
    }
    return line.toString().strip();
  }

  /** Returns a message with this head and body, and its content length. */
  public static String message(String head, String body) {
    return head + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Closes this end of the connection. */
  public void end() throws IOException {
    socket.close();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
