package ferngrade.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Reads and writes HTTP messages byte by byte, and replaces the ports, which differ between runs,
 * with a fixed text.
 */
public final class RawBytes {
  private static final Pattern LENGTH = Pattern.compile("(?i)\r\ncontent-length: *(\\d+)\r\n");
  private static final Pattern PORT = Pattern.compile("127\\.0\\.0\\.1:\\d+|localhost:\\d+");
  private static final int TIMEOUT_MILLIS = 10_000;

  private RawBytes() {}

  /** Returns the next message of a connection, without reading ahead. */
  public static String read(Socket socket) throws IOException {
    socket.setSoTimeout(TIMEOUT_MILLIS);
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!text(head).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("ended after " + text(head));
      }
      head.write(next);
    }
    Matcher length = LENGTH.matcher(text(head));
    byte[] body = in.readNBytes(length.find() ? Integer.parseInt(length.group(1)) : 0);
    String message = text(head) + new String(body, StandardCharsets.ISO_8859_1);
    return PORT.matcher(message).replaceAll("HOST:PORT");
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Writes the text unchanged. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }
}
