package ferngrade.toml;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One table of a TOML file. Each key that is asked for counts as known; {@link #end} finds those
 * that nobody asked for. What is wrong is said with file, line and key.
 */
public final class Section {
  private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|min|h)");

  private static final TomlMapper TOML = new TomlMapper();

  private final String file;
  private final TomlLines lines;
  private final String path;
  private final JsonNode table;
  private final Set<String> known = new HashSet<>();

  /** A table at this path of a file, whose name and lines are for messages alone. */
  public Section(String file, TomlLines lines, String path, JsonNode table) {
    this.file = file;
    this.lines = lines;
    this.path = path;
    this.table = table;
  }

  /** Says that this key of the table cannot be used, and why. */
  public FileException bad(String key, String what) {
    String full = path.isEmpty() ? key : path + "." + key;
    int line = lines.of(full);
    return new FileException(file + (line > 0 ? ":" + line : ""), full + " " + what);
  }

  /** The value as it stands, null if the key is left out. */
  public JsonNode get(String key) {
    known.add(key);
    JsonNode value = table.get(key);
    return value == null || value.isNull() ? null : value;
  }

  /** Whether the key is there. */
  public boolean has(String key) {
    return get(key) != null;
  }

  /** Whether the key is there and a number. */
  public boolean numeric(String key) {
    JsonNode value = get(key);
    return value != null && value.isNumber();
  }

  /** The text under a key. */
  public String text(String key, String absent) throws FileException {
    JsonNode value = get(key);
    if (value == null) {
      return absent;
    }
    if (!value.isTextual()) {
      throw bad(key, "is not a text: " + value);
    }
    return value.asText();
  }

  /** The number, 0 or more, under a key. */
  public double number(String key, double absent) throws FileException {
    JsonNode value = get(key);
    return value == null ? absent : number(key, value);
  }

  /** The number, 0 or more, that a value is. */
  public double number(String key, JsonNode value) throws FileException {
    if (!value.isNumber()) {
      throw bad(key, "is not a number: " + value);
    }
    if (!(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
      throw bad(key, "must be 0 or more: " + value);
    }
    return value.asDouble();
  }

  /** The time under a key, ms. */
  public double time(String key, double absent) throws FileException {
    JsonNode value = get(key);
    return value == null ? absent : time(key, value);
  }

  /** The time that a value is, ms. */
  public double time(String key, JsonNode value) throws FileException {
    Matcher time = TIME.matcher(value.isTextual() ? value.asText() : "");
    if (!time.matches()) {
      throw bad(key, "is not a time such as \"250ms\" or \"10s\": " + value);
    }
    double unit =
        switch (time.group(2)) {
          case "us" -> 0.001;
          case "ms" -> 1;
          case "s" -> 1000;
          case "min" -> 60_000;
          default -> 3_600_000;
        };
    return Double.parseDouble(time.group(1)) * unit;
  }

  /** The constant under a key, in small letters with dashes. */
  public <E extends Enum<E>> E word(String key, Class<E> type, E absent) throws FileException {
    String word = text(key, null);
    if (word == null) {
      return absent;
    }
    for (E each : type.getEnumConstants()) {
      if (kebab(each.name()).equals(word)) {
        return each;
      }
    }
    throw bad(
        key,
        "is unknown: \""
            + word
            + "\"; there are "
            + String.join(
                ", ",
                Arrays.stream(type.getEnumConstants()).map(each -> kebab(each.name())).toList()));
  }

  /** A constant's name in small letters with dashes. */
  public static String kebab(String constant) {
    return constant.toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The texts of a list, at least one where the key is there. */
  public List<String> texts(String key, List<String> absent) throws FileException {
    JsonNode value = get(key);
    if (value == null) {
      return absent;
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode each : list(key, value)) {
      if (!each.isTextual() || each.asText().isEmpty()) {
        throw bad(key, "holds what is not a text: " + each);
      }
      texts.add(each.asText());
    }
    return texts;
  }

  /** The values of a list, none where the key is left out. */
  public List<JsonNode> values(String key) throws FileException {
    JsonNode value = get(key);
    return value == null ? List.of() : list(key, value);
  }

  private List<JsonNode> list(String key, JsonNode value) throws FileException {
    if (!value.isArray() || value.isEmpty()) {
      throw bad(key, "is not a list with something in it: " + value);
    }
    List<JsonNode> items = new ArrayList<>();
    value.forEach(items::add);
    return items;
  }

  /** The table under this key, an empty one if it is left out. */
  public Section section(String key) throws FileException {
    JsonNode value = get(key);
    if (value != null && !value.isObject()) {
      throw bad(key, "is not a table");
    }
    String inner = path.isEmpty() ? key : path + "." + key;
    return new Section(
        file, lines, inner, value == null ? JsonNodeFactory.instance.objectNode() : value);
  }

  /** The tables of a list of tables, none if it is left out. */
  public List<Section> sections(String key) throws FileException {
    JsonNode value = get(key);
    List<Section> sections = new ArrayList<>();
    if (value != null) {
      String inner = path.isEmpty() ? key : path + "." + key;
      for (JsonNode each : list(key, value)) {
        if (!each.isObject()) {
          throw bad(key, "holds what is not a table");
        }
        sections.add(new Section(file, lines, inner + "[" + sections.size() + "]", each));
      }
    }
    return sections;
  }

  /** All keys, which count as known from here on. */
  public List<String> keys() {
    List<String> keys = new ArrayList<>();
    for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      known.add(name);
      keys.add(name);
    }
    return keys;
  }

  /** The table at the top of a file. */
  public static Section file(Path path) throws FileException {
    String text = text(path);
    return new Section(path.toString(), new TomlLines(text), "", parse(path.toString(), text));
  }

  /** What a file says. */
  public static String text(Path path) throws FileException {
    try {
      return Files.readString(path);
    } catch (IOException unreadable) {
      throw new FileException(path.toString(), "cannot be read: " + unreadable.getMessage());
    }
  }

  /** The tree of a text; {@code file} is its name in messages. */
  public static JsonNode parse(String file, String text) throws FileException {
    try {
      return TOML.readTree(text);
    } catch (JsonProcessingException malformed) {
      int line = malformed.getLocation() == null ? 0 : malformed.getLocation().getLineNr();
      throw new FileException(
          file + (line > 0 ? ":" + line : ""),
          "is not TOML: " + malformed.getOriginalMessage().lines().findFirst().orElse(""));
    }
  }

  /** Ends the reading: what nobody has asked for is unknown. */
  public void end() throws FileException {
    for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw bad(name, "is unknown here");
      }
    }
  }
}
