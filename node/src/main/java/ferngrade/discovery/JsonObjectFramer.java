package ferngrade.discovery;

/**
 * Puts JSON objects together from the lines of an answer: one a line, or indented over several. A
 * blank line between objects is a sign of life; within one it means that the rest of that will not
 * come.
 */
final class JsonObjectFramer {
  private final int maxLength;
  private final StringBuilder object = new StringBuilder();
  private int depth;
  private boolean inString;

  /** Objects of at most so many characters. */
  JsonObjectFramer(int maxLength) {
    this.maxLength = maxLength;
  }

  /**
   * The object that is complete with this line, null if none is. An {@link
   * IllegalArgumentException} says that an object is too long or ends before it is complete;
   * nothing of it is kept.
   */
  String add(String line) {
    if (line.isBlank()) {
      if (!object.isEmpty()) {
        clear();
        throw new IllegalArgumentException("an object breaks off");
      }
      return null;
    }
    if (object.length() + line.length() > maxLength) {
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
    String complete = object.toString();
    clear();
    return complete;
  }

  private void count(String line, int i) {
    char c = line.charAt(i);
    if (c == '"' && !(inString && escaped(line, i))) {
      inString = !inString;
    } else if (!inString && (c == '{' || c == '[')) {
      depth++;
    } else if (!inString && (c == '}' || c == ']')) {
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
    inString = false;
  }
}
