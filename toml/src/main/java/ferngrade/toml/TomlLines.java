package ferngrade.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Maps the keys of a TOML file to their line numbers, for error messages. The parser does not keep
 * the positions of keys. This class examines only table headers and the beginnings of lines; keys
 * in other places have no line number.
 */
public final class TomlLines {
  private static final Pattern HEADER =
      Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
  private static final Pattern KEY =
      Pattern.compile("\\s*(\"[^\"]+\"|'[^']+'|[A-Za-z0-9_.-]+)\\s*=.*");

  private final Map<String, Integer> lines = new HashMap<>();

  /** Collects the line numbers of the keys in a text. */
  public TomlLines(String text) {
    Map<String, Integer> counts = new HashMap<>();
    String table = "";
    int lineNumber = 0;
    for (String line : text.split("\n", -1)) {
      lineNumber++;
      Matcher header = HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (header.matches()) {
        table = header.group(2);
        if (header.group(1).length() == 2) {
          int index = counts.merge(table, 1, Integer::sum) - 1;
          table += "[" + index + "]";
        }
        lines.putIfAbsent(table, lineNumber);
        table += ".";
      } else if (key.matches()) {
        String name = key.group(1);
        boolean quoted = name.charAt(0) == '"' || name.charAt(0) == '\'';
        lines.putIfAbsent(
            table + (quoted ? name.substring(1, name.length() - 1) : name), lineNumber);
      }
    }
  }

  /**
   * Returns the line number of a path such as {@code fleet.kind[1].speed}, or the line number of
   * the closest enclosing table; 0 if both are unknown.
   */
  public int lineOf(String path) {
    String prefix = path;
    while (!prefix.isEmpty()) {
      Integer line = lines.get(prefix);
      if (line != null) {
        return line;
      }
      prefix = prefix.substring(0, Math.max(0, prefix.lastIndexOf('.')));
    }
    return 0;
  }
}
