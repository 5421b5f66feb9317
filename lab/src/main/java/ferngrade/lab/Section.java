package ferngrade.lab;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import ferngrade.emulator.Quantity;
import ferngrade.emulator.Quantity.Measure;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
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
 * One table of an experiment. Each key that is asked for counts as known; {@link #end} finds those that nobody asked
 * for. What is wrong is said with file, line and key.
 */
final class Section {
    private static final Pattern TIME = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*(us|ms|s|min|h)");
    private static final Pattern RATE = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*/\\s*(s|min)");

    private final String file;
    private final TomlLines lines;
    private final String path;
    private final JsonNode table;
    private final Set<String> known = new HashSet<>();

    Section(String file, TomlLines lines, String path, JsonNode table) {
        this.file = file;
        this.lines = lines;
        this.path = path;
        this.table = table;
    }

    ExperimentException bad(String key, String what) {
        String full = path.isEmpty() ? key : path + "." + key;
        int line = lines.of(full);
        return new ExperimentException(file + (line > 0 ? ":" + line : ""), full + " " + what);
    }

    private JsonNode get(String key) {
        known.add(key);
        JsonNode value = table.get(key);
        return value == null || value.isNull() ? null : value;
    }

    boolean has(String key) {
        return get(key) != null;
    }

    boolean numeric(String key) {
        JsonNode value = get(key);
        return value != null && value.isNumber();
    }

    String text(String key, String absent) throws ExperimentException {
        JsonNode value = get(key);
        if (value == null) {
            return absent;
        }
        if (!value.isTextual()) {
            throw bad(key, "is not a text: " + value);
        }
        return value.asText();
    }

    double number(String key, double absent) throws ExperimentException {
        JsonNode value = get(key);
        return value == null ? absent : number(key, value);
    }

    private double number(String key, JsonNode value) throws ExperimentException {
        if (!value.isNumber()) {
            throw bad(key, "is not a number: " + value);
        }
        if (!(value.asDouble() >= 0) || Double.isInfinite(value.asDouble())) {
            throw bad(key, "must be 0 or more: " + value);
        }
        return value.asDouble();
    }

    double time(String key, double absent) throws ExperimentException {
        JsonNode value = get(key);
        return value == null ? absent : time(key, value);
    }

    private double time(String key, JsonNode value) throws ExperimentException {
        Matcher time = TIME.matcher(value.isTextual() ? value.asText() : "");
        if (!time.matches()) {
            throw bad(key, "is not a time such as \"250ms\" or \"10s\": " + value);
        }
        double unit = switch (time.group(2)) {
            case "us" -> 0.001;
            case "ms" -> 1;
            case "s" -> 1000;
            case "min" -> 60_000;
            default -> 3_600_000;
        };
        return Double.parseDouble(time.group(1)) * unit;
    }

    private double rate(String key, JsonNode value) throws ExperimentException {
        Matcher rate = RATE.matcher(value.isTextual() ? value.asText() : "");
        if (!rate.matches()) {
            throw bad(key, "is not a rate such as \"52/s\": " + value);
        }
        return Double.parseDouble(rate.group(1)) / (rate.group(2).equals("s") ? 1 : 60);
    }

    <E extends Enum<E>> E word(String key, Class<E> type, E absent) throws ExperimentException {
        String word = text(key, null);
        if (word == null) {
            return absent;
        }
        for (E each : type.getEnumConstants()) {
            if (kebab(each.name()).equals(word)) {
                return each;
            }
        }
        throw bad(key, "is unknown: \"" + word + "\"; there are "
                + String.join(", ", Arrays.stream(type.getEnumConstants()).map(each -> kebab(each.name())).toList()));
    }

    static String kebab(String constant) {
        return constant.toLowerCase(Locale.ROOT).replace('_', '-');
    }

    List<String> texts(String key, List<String> absent) throws ExperimentException {
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

    List<JsonNode> values(String key) throws ExperimentException {
        JsonNode value = get(key);
        return value == null ? List.of() : list(key, value);
    }

    private List<JsonNode> list(String key, JsonNode value) throws ExperimentException {
        if (!value.isArray() || value.isEmpty()) {
            throw bad(key, "is not a list with something in it: " + value);
        }
        List<JsonNode> items = new ArrayList<>();
        value.forEach(items::add);
        return items;
    }

    /** The table under this key, an empty one if it is left out. */
    Section section(String key) throws ExperimentException {
        JsonNode value = get(key);
        if (value != null && !value.isObject()) {
            throw bad(key, "is not a table");
        }
        String inner = path.isEmpty() ? key : path + "." + key;
        return new Section(file, lines, inner,
                value == null ? JsonNodeFactory.instance.objectNode() : value);
    }

    /** The tables of a list of tables, none if it is left out. */
    List<Section> sections(String key) throws ExperimentException {
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

    List<String> keys() {
        List<String> keys = new ArrayList<>();
        for (Iterator<String> names = table.fieldNames(); names.hasNext();) {
            String name = names.next();
            known.add(name);
            keys.add(name);
        }
        return keys;
    }

    /** Fills each plain field of {@code target} from the key that bears its name, in the unit that it is noted with. */
    <T> T fill(T target) throws ExperimentException {
        for (Field field : target.getClass().getFields()) {
            if (Modifier.isStatic(field.getModifiers()) || Modifier.isFinal(field.getModifiers())) {
                continue;
            }
            String key = field.getName().replaceAll("([A-Z])", "-$1").toLowerCase(Locale.ROOT);
            Object value = plain(field, key);
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
    private Object plain(Field field, String key) throws ExperimentException {
        Class<?> type = field.getType();
        boolean plain = type.isPrimitive() || type == String.class || type.isEnum();
        JsonNode value = plain ? get(key) : null;
        if (value == null) {
            return null;
        }
        if (type == String.class) {
            return text(key, null);
        }
        if (type.isEnum()) {
            return word(key, (Class) type, null);
        }
        if (type == boolean.class) {
            if (!value.isBoolean()) {
                throw bad(key, "is not true or false: " + value);
            }
            return value.asBoolean();
        }
        Quantity quantity = field.getAnnotation(Quantity.class);
        double figure = figure(key, value, quantity == null ? null : quantity.value());
        if (type == int.class) {
            if (figure != Math.rint(figure) || figure > 1e9) {
                throw bad(key, "is not a whole number: " + value);
            }
            return (int) figure;
        }
        return figure;
    }

    private double figure(String key, JsonNode value, Measure measure) throws ExperimentException {
        if (measure == Measure.TIME) {
            return time(key, value);
        }
        if (measure == Measure.RATE) {
            return rate(key, value);
        }
        double figure = number(key, value);
        if (measure == Measure.SHARE && figure > 1) {
            throw bad(key, "must be between 0 and 1: " + value);
        }
        if (measure == Measure.POSITIVE && figure == 0) {
            throw bad(key, "must be above 0");
        }
        return figure;
    }

    /** Ends the reading: what nobody has asked for is unknown. */
    void end() throws ExperimentException {
        for (Iterator<String> names = table.fieldNames(); names.hasNext();) {
            String name = names.next();
            if (!known.contains(name)) {
                throw bad(name, "is unknown here");
            }
        }
    }
}
