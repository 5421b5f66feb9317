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

/**
 * Sets the fields of a specification from a table of an experiment file. The fields are public, not
 * final, and have a primitive type, a String or an enum type.
 */
final class Fields {
  private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*/\\s*(s|min)");

  private Fields() {}

  /**
   * Sets the fields of {@code target}: each field has the value of the key that is the field's name
   * in kebab case. The field's {@link Quantity} annotation determines the unit. Fields whose key is
   * absent keep their value.
   */
  static <T> T fill(Section section, T target) throws FileException {
    for (Field field : target.getClass().getFields()) {
      if (Modifier.isStatic(field.getModifiers()) || Modifier.isFinal(field.getModifiers())) {
        continue;
      }
      String key = field.getName().replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
      Object value = readValue(section, field, key);
      if (value != null) {
        try {
          field.set(target, value);
        } catch (IllegalAccessException e) {
          throw new IllegalStateException(e);
        }
      }
    }
    return target;
  }

  @SuppressWarnings({"unchecked", "rawtypes"})
  private static Object readValue(Section section, Field field, String key) throws FileException {
    Class<?> type = field.getType();
    boolean supported = type.isPrimitive() || type == String.class || type.isEnum();
    JsonNode value = supported ? section.get(key) : null;
    if (value == null) {
      return null;
    }
    if (type == String.class) {
      return section.string(key, null);
    }
    if (type.isEnum()) {
      return section.enumValue(key, (Class) type, null);
    }
    if (type == boolean.class) {
      if (!value.isBoolean()) {
        throw section.error(key, "is not true or false: " + value);
      }
      return value.asBoolean();
    }
    Quantity quantity = field.getAnnotation(Quantity.class);
    double number = readNumber(section, key, value, quantity == null ? null : quantity.value());
    if (type == int.class) {
      if (number != Math.rint(number) || number > 1e9) {
        throw section.error(key, "is not a whole number: " + value);
      }
      return (int) number;
    }
    return number;
  }

  private static double readNumber(Section section, String key, JsonNode value, Measure measure)
      throws FileException {
    if (measure == Measure.TIME) {
      return section.durationMillis(key, value);
    }
    if (measure == Measure.RATE) {
      return parseRate(section, key, value);
    }
    double number = section.number(key, value);
    if (measure == Measure.SHARE && number > 1) {
      throw section.error(key, "must be between 0 and 1: " + value);
    }
    if (measure == Measure.POSITIVE && number == 0) {
      throw section.error(key, "must be above 0");
    }
    return number;
  }

  private static double parseRate(Section section, String key, JsonNode value)
      throws FileException {
    Matcher matcher = RATE.matcher(value.isTextual() ? value.asText() : "");
    if (!matcher.matches()) {
      throw section.error(key, "is not a rate such as \"52/s\": " + value);
    }
    return Double.parseDouble(matcher.group(1)) / (matcher.group(2).equals("s") ? 1 : 60);
  }
}
