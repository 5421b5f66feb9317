package ferngrade.config;

import static java.util.stream.Collectors.joining;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import ferngrade.dispatch.DeploymentLimits;
import ferngrade.dispatch.DispatcherSettings;
import ferngrade.dispatch.Idempotency;
import ferngrade.dispatch.IdempotencyScope;
import ferngrade.dispatch.JobClass;
import ferngrade.dispatch.ServiceObjective;
import ferngrade.dispatch.SlowStartPolicy;
import ferngrade.dispatch.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The one mapping from the names of settings to the module's {@link DispatcherSettings}, used for
 * the simulator's wire and for a node's configuration alike. Paths that it does not know are
 * ignored; what is out of range ends in an {@link IllegalArgumentException} that names the path.
 */
public final class SettingsMapping {
  private final Map<String, String> values = new HashMap<>();

  /** Takes in one {@code path=value} pair, the form of the wire. */
  public void put(String pair) {
    int equals = pair.indexOf('=');
    if (equals <= 0) {
      throw new IllegalArgumentException("setting is not path=value: " + pair);
    }
    values.put(pair.substring(0, equals), pair.substring(equals + 1));
  }

  /**
   * Takes in nested JSON, flattened to the wire's paths: {@code A.B} for members, {@code A.count}
   * and {@code A.0} for lists of objects, commas between plain items.
   */
  public void put(JsonObject nested) {
    put("", nested);
  }

  private void put(String prefix, JsonObject nested) {
    for (JsonObject.Member member : nested) {
      put(prefix + member.getName(), member.getValue());
    }
  }

  private void put(String path, JsonValue value) {
    if (value.isObject()) {
      put(path + ".", value.asObject());
    } else if (value.isArray()) {
      putList(path, value.asArray());
    } else if (!value.isNull()) {
      values.put(path, plain(value));
    }
  }

  private void putList(String path, JsonArray list) {
    boolean objects = !list.isEmpty() && list.get(0).isObject();
    if (objects) {
      values.put(path + ".count", Integer.toString(list.size()));
      for (int i = 0; i < list.size(); i++) {
        put(path + "." + i, list.get(i));
      }
    } else {
      values.put(path, list.values().stream().map(SettingsMapping::plain).collect(joining(",")));
    }
  }

  private static String plain(JsonValue value) {
    return value.isString() ? value.asString() : value.toString();
  }

  /** What was taken in, by path and as it was written. */
  Map<String, String> asWritten() {
    return Map.copyOf(values);
  }

  /** The items of a list of plain values, empty if the path is absent. */
  public List<String> list(String path) {
    String items = values.getOrDefault(path, "");
    return items.isEmpty() ? List.of() : List.of(items.split(","));
  }

  /** A number, or {@code absent} where the path is left out. */
  public double number(String path, double absent) {
    String value = values.get(path);
    return value == null || "-".equals(value) || value.isEmpty() ? absent : parse(path, value);
  }

  /** The settings as far as they were taken in. */
  public DispatcherSettings build() {
    return build(0);
  }

  /**
   * The same where an attempt may be under way for {@code transit} ms before its last byte is
   * written: the idempotency windows count from then on, and so are shorter by that for whoever
   * decides on a repeat.
   */
  public DispatcherSettings build(double transit) {
    boolean peers = flag("Ceilings.PeerMessages");
    double retryAfter = flag("Ceilings.RetryAfter") ? number("Ceilings.MaxRetryAfter", 0) : 0;
    DeploymentLimits limits =
        new DeploymentLimits(
            (int) number("Ceilings.MostTries", 1),
            flag("Ceilings.SecondCopies"),
            flag("Ceilings.Cancel"),
            flag("Ceilings.Probes"),
            peers,
            retryAfter);
    SlowStartPolicy cold =
        new SlowStartPolicy(
            number("Rules.StartCapacity", 1),
            number("Rules.Cold", 0),
            number("Rules.FallMultiple", 1),
            number("Rules.TipAfter", 1000));
    return new DispatcherSettings(
        (int) number("Me", 0),
        (int) number("Balancers", 1),
        (int) number("Locality", 0),
        number("Round", 0),
        classes(transit),
        tenants(),
        limits,
        cold,
        "ask".equals(values.get("Discovery")),
        flag("Extra.TellsStart"),
        "live".equals(values.get("WeightKind")),
        number("Charges.CrossZone", 0),
        new ServiceObjective(number("ResultMix.Whole", 0), number("ResultMix.WorstClass", 0)));
  }

  private List<JobClass> classes(double transit) {
    String[] kinds = values.getOrDefault("Extra.ClassKind", "").split(",");
    String[] priorities = values.getOrDefault("Extra.ClassPriority", "").split(",");
    String[] stretches = values.getOrDefault("Extra.ClassStretch", "").split(",");
    List<JobClass> classes = new ArrayList<>();
    int count = (int) number("Classes.count", 0);
    for (int i = 0; i < count; i++) {
      String at = "Classes." + i + ".";
      classes.add(
          new JobClass(
              values.getOrDefault(at + "Name", ""),
              effect(at + "Effect"),
              scope(at + "KeyScope"),
              Math.max(0, number(at + "Window", 0) - transit),
              number(at + "GoalTime", 1000),
              item("Extra.ClassStretch", stretches, i, number(at + "AimStretch", 0)),
              number(at + "Deadline", 1000),
              number(at + "Worth", 1),
              number(at + "LateWorth", 0),
              (int) item("Extra.ClassKind", kinds, i, -1),
              (int) item("Extra.ClassPriority", priorities, i, 0)));
    }
    return classes;
  }

  private List<Tenant> tenants() {
    List<Tenant> tenants = new ArrayList<>();
    int count = (int) number("Tenants.count", 0);
    for (int i = 0; i < count; i++) {
      String at = "Tenants." + i + ".";
      tenants.add(
          new Tenant(
              values.getOrDefault(at + "Name", ""),
              number(at + "Share", 0),
              number(at + "AllowancePerS", 0)));
    }
    return tenants;
  }

  private Idempotency effect(String path) {
    String word = values.getOrDefault(path, "at_most_once");
    return switch (word) {
      case "idempotent" -> Idempotency.SAFE;
      case "deduplicated" -> Idempotency.KEYED;
      case "at_most_once" -> Idempotency.UNSAFE;
      default -> throw new IllegalArgumentException(path + " is unknown: " + word);
    };
  }

  private IdempotencyScope scope(String path) {
    String word = values.getOrDefault(path, "cell");
    return switch (word) {
      case "all" -> IdempotencyScope.ALL;
      case "zone" -> IdempotencyScope.ZONE;
      case "cell" -> IdempotencyScope.CELL;
      default -> throw new IllegalArgumentException(path + " is unknown: " + word);
    };
  }

  private double item(String path, String[] items, int i, double absent) {
    boolean missing = i >= items.length || items[i].isEmpty() || "-".equals(items[i]);
    return missing ? absent : parse(path, items[i]);
  }

  private static double parse(String path, String value) {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException notANumber) {
      // Said below, as for a figure without end.
    }
    throw new IllegalArgumentException("setting " + path + " is not a number: " + value);
  }

  private boolean flag(String path) {
    return "true".equals(values.get(path));
  }
}
