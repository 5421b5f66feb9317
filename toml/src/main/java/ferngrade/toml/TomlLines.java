package ferngrade.toml;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Where each key of a TOML file stands, so that a message can name the line. The parser keeps no
 * places; this reads nothing but headers and the beginnings of lines, and what it does not
 * recognise has no line.
 */
public final class TomlLines {
  private static final Pattern HEADER =
      Pattern.compile("\\s*(\\[\\[?)\\s*([^\\]]+?)\\s*\\]\\]?\\s*(#.*)?");
  private static final Pattern KEY =
      Pattern.compile("\\s*(\"[^\"]+\"|'[^']+'|[A-Za-z0-9_.-]+)\\s*=.*");

  private final Map<String, Integer> lines = new HashMap<>();

  /** Reads where the keys of this text stand. */
  public TomlLines(String text) {
    Map<String, Integer> counts = new HashMap<>();
    String table = "";
    int number = 0;
    for (String line : text.split("\n", -1)) {
      number++;
      Matcher header = HEADER.matcher(line);
      Matcher key = KEY.matcher(line);
      if (header.matches()) {
        table = header.group(2);
        if (header.group(1).length() == 2) {
          int index = counts.merge(table, 1, Integer::sum) - 1;
          table += "[" + index + "]";
        }
        lines.putIfAbsent(table, number);
        table += ".";
      } else if (key.matches()) {
        String name = key.group(1);
        boolean quoted = name.charAt(0) == '"' || name.charAt(0) == '\'';
        lines.putIfAbsent(table + (quoted ? name.substring(1, name.length() - 1) : name), number);
      }
    }
  }

  /**
   * The line of a path such as {@code fleet.kind[1].speed}, of the table that holds it, or 0 if
   * unknown.
   */
  public int of(String path) {
    String at = path;
    while (!at.isEmpty()) {
      Integer line = lines.get(at);
      if (line != null) {
        return line;
      }
      at = at.substring(0, Math.max(0, at.lastIndexOf('.')));
    }
    return 0;
  }
}
