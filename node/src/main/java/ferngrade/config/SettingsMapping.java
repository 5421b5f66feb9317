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
 * Maps the names of settings to the dispatcher's {@link DispatcherSettings}, both for the
 * simulator's protocol and for the configuration of a node. Unknown paths are ignored; a value that
 * is out of range causes an {@link IllegalArgumentException} that names the path.
 */
public final class SettingsMapping {
  private final Map<String, String> values = new HashMap<>();

  /** Adds one {@code path=value} pair, the format of the simulator's protocol. */
  public void put(String pair) {
    int equals = pair.indexOf('=');
    if (equals <= 0) {
      throw new IllegalArgumentException("setting is not path=value: " + pair);
    }
    values.put(pair.substring(0, equals), pair.substring(equals + 1));
  }

  /**
   * Adds nested JSON, flattened to the paths of the simulator's protocol: {@code A.B} for members,
   * {@code A.count} and {@code A.0} for lists of objects. A list of plain values becomes one text
   * with commas.
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
      values.put(path, asText(value));
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
      values.put(path, list.values().stream().map(SettingsMapping::asText).collect(joining(",")));
    }
  }

  private static String asText(JsonValue value) {
    return value.isString() ? value.asString() : value.toString();
  }

  /** Returns the text of each setting by its path, as added. */
  Map<String, String> writtenSettings() {
    return Map.copyOf(values);
  }

  /** Returns the items of a list of plain values, empty if the path is absent. */
  public List<String> list(String path) {
    String items = values.getOrDefault(path, "");
    return items.isEmpty() ? List.of() : List.of(items.split(","));
  }

  /** Returns a number, or {@code defaultValue} if the path is absent, empty or {@code -}. */
  public double number(String path, double defaultValue) {
    String value = values.get(path);
    return value == null || "-".equals(value) || value.isEmpty()
        ? defaultValue
        : parse(path, value);
  }

  /** Returns the settings, with defaults for the paths that were not added. */
  public DispatcherSettings build() {
    return build(0);
  }

  /**
   * Returns the settings for a node whose attempts may take {@code sendDelay} ms until their last
   * byte is written. An idempotency window counts from that last byte, so it is shortened by {@code
   * sendDelay} for the decision whether to retry.
   */
  public DispatcherSettings build(double sendDelay) {
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
    SlowStartPolicy slowStart =
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
        classes(sendDelay),
        tenants(),
        limits,
        slowStart,
        "ask".equals(values.get("Discovery")),
        flag("Extra.TellsStart"),
        "live".equals(values.get("WeightKind")),
        number("Charges.CrossZone", 0),
        new ServiceObjective(number("ResultMix.Whole", 0), number("ResultMix.WorstClass", 0)));
  }

  private List<JobClass> classes(double sendDelay) {
    String[] workerTypes = values.getOrDefault("Extra.ClassKind", "").split(",");
    String[] priorities = values.getOrDefault("Extra.ClassPriority", "").split(",");
    String[] latencyFactors = values.getOrDefault("Extra.ClassStretch", "").split(",");
    List<JobClass> classes = new ArrayList<>();
    int count = (int) number("Classes.count", 0);
    for (int i = 0; i < count; i++) {
      String prefix = "Classes." + i + ".";
      classes.add(
          new JobClass(
              values.getOrDefault(prefix + "Name", ""),
              idempotency(prefix + "Effect"),
              idempotencyScope(prefix + "KeyScope"),
              Math.max(0, number(prefix + "Window", 0) - sendDelay),
              number(prefix + "GoalTime", 1000),
              item("Extra.ClassStretch", latencyFactors, i, number(prefix + "AimStretch", 0)),
              number(prefix + "Deadline", 1000),
              number(prefix + "Worth", 1),
              number(prefix + "LateWorth", 0),
              (int) item("Extra.ClassKind", workerTypes, i, -1),
              (int) item("Extra.ClassPriority", priorities, i, 0)));
    }
    return classes;
  }

  private List<Tenant> tenants() {
    List<Tenant> tenants = new ArrayList<>();
    int count = (int) number("Tenants.count", 0);
    for (int i = 0; i < count; i++) {
      String prefix = "Tenants." + i + ".";
      tenants.add(
          new Tenant(
              values.getOrDefault(prefix + "Name", ""),
              number(prefix + "Share", 0),
              number(prefix + "AllowancePerS", 0)));
    }
    return tenants;
  }

  private Idempotency idempotency(String path) {
    String text = values.getOrDefault(path, "at_most_once");
    return switch (text) {
      case "idempotent" -> Idempotency.SAFE;
      case "deduplicated" -> Idempotency.KEYED;
      case "at_most_once" -> Idempotency.UNSAFE;
      default -> throw new IllegalArgumentException(path + " is unknown: " + text);
    };
  }

  private IdempotencyScope idempotencyScope(String path) {
    String text = values.getOrDefault(path, "cell");
    return switch (text) {
      case "all" -> IdempotencyScope.ALL;
      case "zone" -> IdempotencyScope.ZONE;
      case "cell" -> IdempotencyScope.CELL;
      default -> throw new IllegalArgumentException(path + " is unknown: " + text);
    };
  }

  private double item(String path, String[] items, int i, double defaultValue) {
    boolean missing = i >= items.length || items[i].isEmpty() || "-".equals(items[i]);
    return missing ? defaultValue : parse(path, items[i]);
  }

  private static double parse(String path, String value) {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException notANumber) {
      // Reported below with the same message as an infinite number.
    }
    throw new IllegalArgumentException("setting " + path + " is not a number: " + value);
  }

  private boolean flag(String path) {
    return "true".equals(values.get(path));
  }
}
