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
 * Reads one table of a TOML file. Each key that is read counts as known; {@link #rejectUnknownKeys}
 * rejects the others. Error messages name the file, the line and the key.
 */
public final class Section {
  private static final Pattern DURATION =
      Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|min|h)");

  private static final TomlMapper TOML = new TomlMapper();

  private final String file;
  private final TomlLines lines;
  private final String path;
  private final JsonNode table;
  private final Set<String> known = new HashSet<>();

  /**
   * Creates a section for the table at this path; the name and the lines of the file are used only
   * in error messages.
   */
  public Section(String file, TomlLines lines, String path, JsonNode table) {
    this.file = file;
    this.lines = lines;
    this.path = path;
    this.table = table;
  }

  /** Returns an exception that reports why the value of this key cannot be used. */
  public FileException error(String key, String problem) {
    String fullKey = path.isEmpty() ? key : path + "." + key;
    int line = lines.lineOf(fullKey);
    return new FileException(file + (line > 0 ? ":" + line : ""), fullKey + " " + problem);
  }

  /** Returns the raw value, or null if the key is absent. */
  public JsonNode get(String key) {
    known.add(key);
    JsonNode value = table.get(key);
    return value == null || value.isNull() ? null : value;
  }

  /** Returns whether the key is present. */
  public boolean has(String key) {
    return get(key) != null;
  }

  /** Returns whether the key is present and its value is a number. */
  public boolean isNumber(String key) {
    JsonNode value = get(key);
    return value != null && value.isNumber();
  }

  /** Returns the string under a key, or the default if the key is absent. */
  public String string(String key, String defaultValue) throws FileException {
    JsonNode value = get(key);
    if (value == null) {
      return defaultValue;
    }
    if (!value.isTextual()) {
      throw error(key, "is not a string: " + value);
    }
    return value.asText();
  }

  /**
   * Returns the number under a key, or the default if the key is absent. A negative number is an
   * error.
   */
  public double number(String key, double defaultValue) throws FileException {
    JsonNode value = get(key);
    return value == null ? defaultValue : number(key, value);
  }

  /** Returns a value as a number. A negative number is an error. */
  public double number(String key, JsonNode value) throws FileException {
    if (!value.isNumber()) {
      throw error(key, "is not a number: " + value);
    }
    if (!(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
      throw error(key, "must be 0 or more: " + value);
    }
    return value.asDouble();
  }

  /** Returns the duration under a key in ms, or the default if the key is absent. */
  public double durationMillis(String key, double defaultValue) throws FileException {
    JsonNode value = get(key);
    return value == null ? defaultValue : durationMillis(key, value);
  }

  /** Returns a value as a duration in ms. */
  public double durationMillis(String key, JsonNode value) throws FileException {
    Matcher duration = DURATION.matcher(value.isTextual() ? value.asText() : "");
    if (!duration.matches()) {
      throw error(key, "is not a time such as \"250ms\" or \"10s\": " + value);
    }
    double unitMillis =
        switch (duration.group(2)) {
          case "us" -> 0.001;
          case "ms" -> 1;
          case "s" -> 1000;
          case "min" -> 60_000;
          default -> 3_600_000;
        };
    return Double.parseDouble(duration.group(1)) * unitMillis;
  }

  /**
   * Returns the enum constant under a key, which is written in kebab case, or the default if the
   * key is absent.
   */
  public <E extends Enum<E>> E enumValue(String key, Class<E> type, E defaultValue)
      throws FileException {
    String text = string(key, null);
    if (text == null) {
      return defaultValue;
    }
    for (E constant : type.getEnumConstants()) {
      if (toKebabCase(constant.name()).equals(text)) {
        return constant;
      }
    }
    throw error(
        key,
        "is unknown: \""
            + text
            + "\"; there are "
            + String.join(
                ", ",
                Arrays.stream(type.getEnumConstants())
                    .map(constant -> toKebabCase(constant.name()))
                    .toList()));
  }

  /** Converts the name of an enum constant to kebab case. */
  public static String toKebabCase(String constant) {
    return constant.toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /**
   * Returns the non-empty list of non-empty strings under a key, or the default if the key is
   * absent.
   */
  public List<String> strings(String key, List<String> defaultValue) throws FileException {
    JsonNode value = get(key);
    if (value == null) {
      return defaultValue;
    }
    List<String> strings = new ArrayList<>();
    for (JsonNode item : nonEmptyList(key, value)) {
      if (!item.isTextual() || item.asText().isEmpty()) {
        throw error(key, "contains an item that is not a non-empty string: " + item);
      }
      strings.add(item.asText());
    }
    return strings;
  }

  /** Returns the values of a non-empty list, or an empty list if the key is absent. */
  public List<JsonNode> values(String key) throws FileException {
    JsonNode value = get(key);
    return value == null ? List.of() : nonEmptyList(key, value);
  }

  private List<JsonNode> nonEmptyList(String key, JsonNode value) throws FileException {
    if (!value.isArray() || value.isEmpty()) {
      throw error(key, "is not a non-empty list: " + value);
    }
    List<JsonNode> items = new ArrayList<>();
    value.forEach(items::add);
    return items;
  }

  /** Returns the table under a key, or an empty one if the key is absent. */
  public Section section(String key) throws FileException {
    JsonNode value = get(key);
    if (value != null && !value.isObject()) {
      throw error(key, "is not a table");
    }
    String innerPath = path.isEmpty() ? key : path + "." + key;
    return new Section(
        file, lines, innerPath, value == null ? JsonNodeFactory.instance.objectNode() : value);
  }

  /** Returns the tables of a list, or an empty list if the key is absent. */
  public List<Section> sections(String key) throws FileException {
    JsonNode value = get(key);
    List<Section> sections = new ArrayList<>();
    if (value != null) {
      String innerPath = path.isEmpty() ? key : path + "." + key;
      for (JsonNode item : nonEmptyList(key, value)) {
        if (!item.isObject()) {
          throw error(key, "contains an item that is not a table");
        }
        sections.add(new Section(file, lines, innerPath + "[" + sections.size() + "]", item));
      }
    }
    return sections;
  }

  /** Returns all keys of the table and marks them as known. */
  public List<String> keys() {
    List<String> keys = new ArrayList<>();
    for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      known.add(name);
      keys.add(name);
    }
    return keys;
  }

  /** Reads the root table of a file. */
  public static Section readFile(Path path) throws FileException {
    String text = readText(path);
    return new Section(path.toString(), new TomlLines(text), "", parse(path.toString(), text));
  }

  /** Reads the content of a file. */
  public static String readText(Path path) throws FileException {
    try {
      return Files.readString(path);
    } catch (IOException unreadable) {
      throw new FileException(path.toString(), "cannot be read: " + unreadable.getMessage());
    }
  }

  /** Parses a text; {@code file} is the file name for error messages. */
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

  /** Finishes reading: throws an exception if the table has a key that was not read. */
  public void rejectUnknownKeys() throws FileException {
    for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw error(name, "is unknown here");
      }
    }
  }
}
