package ferngrade.review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A request or response: its first line, its headers by lower-case name, and its body. */
public record HttpMessage(String startLine, Map<String, String> headers, byte[] body) {
  /** Reads a message with a Content-Length or none; returns null at the end of the stream. */
  public static HttpMessage read(InputStream in) throws IOException {
    String startLine = readLine(in);
    if (startLine == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    return body.length < length ? null : new HttpMessage(startLine, headers, body);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        return null;
      }
      line.write(next);
    }
    return line.toString(StandardCharsets.ISO_8859_1).strip();
  }

  /** Returns a word of the first line: the method and path of a request, the status code. */
  public String word(int index) {
    String[] words = startLine.split(" ");
    return index < words.length ? words[index] : "";
  }

  /** Returns the status code of a response. */
  public int status() {
    return Integer.parseInt(word(1));
  }

  /** Returns the value of a header, or an empty text if it is absent. */
  public String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the body as text. */
  public String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
