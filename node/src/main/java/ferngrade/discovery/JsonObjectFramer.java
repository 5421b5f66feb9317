package ferngrade.discovery;

/**
 * Puts JSON objects together from the lines of an answer: one a line, or indented over several. A
 * blank line between objects is a sign of life; within one it means that the rest of that will not
 * come.
 */
final class JsonObjectFramer {
  private final int longest;
  private final StringBuilder object = new StringBuilder();
  private int depth;
  private boolean text;

  /** Objects of at most so many characters. */
  JsonObjectFramer(int longest) {
    this.longest = longest;
  }

  /**
   * The object that is whole with this line, null if none is. An {@link IllegalArgumentException}
   * says that an object is too long or ends before it is whole; nothing of it is kept.
   */
  String add(String line) {
    if (line.isBlank()) {
      if (!object.isEmpty()) {
        clear();
        throw new IllegalArgumentException("an object breaks off");
      }
      return null;
    }
    if (object.length() + line.length() > longest) {
      clear();
      throw new IllegalArgumentException("an object is too long");
    }
    object.append(line).append('\n');
    for (int i = 0; i < line.length(); i++) {
      count(line, i);
    }
    if (depth > 0) {
      return null;
    }
    String whole = object.toString();
    clear();
    return whole;
  }

  private void count(String line, int i) {
    char c = line.charAt(i);
    if (c == '"' && !(text && escaped(line, i))) {
      text = !text;
    } else if (!text && (c == '{' || c == '[')) {
      depth++;
    } else if (!text && (c == '}' || c == ']')) {
      depth--;
    }
  }

  private static boolean escaped(String line, int at) {
    int slashes = 0;
    while (slashes < at && line.charAt(at - 1 - slashes) == '\\') {
      slashes++;
    }
    return slashes % 2 == 1;
  }

  private void clear() {
    object.setLength(0);
    depth = 0;
    text = false;
  }
}
