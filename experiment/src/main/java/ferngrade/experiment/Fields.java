package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import ferngrade.emulator.Quantity;
import ferngrade.emulator.Quantity.Measure;
import ferngrade.toml.FileException;
import ferngrade.toml.Section;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Fills the plain fields of a specification from a table of an experiment. */
final class Fields {
  private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*/\\s*(s|min)");

  private Fields() {}

  /**
   * Fills each plain field of {@code target} from the key that bears its name, in the unit that it
   * is noted with.
   */
  static <T> T fill(Section section, T target) throws FileException {
    for (Field field : target.getClass().getFields()) {
      if (Modifier.isStatic(field.getModifiers()) || Modifier.isFinal(field.getModifiers())) {
        continue;
      }
      String key = field.getName().replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
      Object value = plain(section, field, key);
      if (value != null) {
        try {
          field.set(target, value);
        } catch (IllegalAccessException impossible) {
          throw new IllegalStateException(impossible);
        }
      }
    }
    return target;
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  private static Object plain(Section section, Field field, String key) throws FileException {
    Class<?> type = field.getType();
    boolean plain = type.isPrimitive() || type == String.class || type.isEnum();
    JsonNode value = plain ? section.get(key) : null;
    if (value == null) {
      return null;
    }
    if (type == String.class) {
      return section.text(key, null);
    }
    if (type.isEnum()) {
      return section.word(key, (Class) type, null);
    }
    if (type == boolean.class) {
      if (!value.isBoolean()) {
        throw section.bad(key, "is not true or false: " + value);
      }
      return value.asBoolean();
    }
    Quantity quantity = field.getAnnotation(Quantity.class);
    double figure = figure(section, key, value, quantity == null ? null : quantity.value());
    if (type == int.class) {
      if (figure != Math.rint(figure) || figure > 1e9) {
        throw section.bad(key, "is not a whole number: " + value);
      }
      return (int) figure;
    }
    return figure;
  }

  private static double figure(Section section, String key, JsonNode value, Measure measure)
      throws FileException {
    if (measure == Measure.TIME) {
      return section.time(key, value);
    }
    if (measure == Measure.RATE) {
      return rate(section, key, value);
    }
    double figure = section.number(key, value);
    if (measure == Measure.SHARE && figure > 1) {
      throw section.bad(key, "must be between 0 and 1: " + value);
    }
    if (measure == Measure.POSITIVE && figure == 0) {
      throw section.bad(key, "must be above 0");
    }
    return figure;
  }

  private static double rate(Section section, String key, JsonNode value) throws FileException {
    Matcher rate = RATE.matcher(value.isTextual() ? value.asText() : "");
    if (!rate.matches()) {
      throw section.bad(key, "is not a rate such as \"52/s\": " + value);
    }
    return Double.parseDouble(rate.group(1)) / (rate.group(2).equals("s") ? 1 : 60);
  }
}
