package irisyard.wire;

import irisyard.Dispatcher.ColdRule;
import irisyard.Dispatcher.Effect;
import irisyard.Dispatcher.JobClass;
import irisyard.Dispatcher.Limits;
import irisyard.Dispatcher.Scope;
import irisyard.Dispatcher.Settings;
import irisyard.Dispatcher.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns the wire's path=value pairs into the module's settings; paths it does not know are ignored. */
final class WireSettings {
    private final Map<String, String> values = new HashMap<>();

    void put(String pair) {
        int equals = pair.indexOf('=');
        if (equals <= 0) {
            throw new WireException("setting is not path=value: " + pair);
        }
        values.put(pair.substring(0, equals), pair.substring(equals + 1));
    }

    Settings build() {
        boolean peers = flag("Ceilings.PeerMessages");
        double retryAfter = flag("Ceilings.RetryAfter") ? number("Ceilings.MaxRetryAfter", 0) : 0;
        Limits limits = new Limits((int) number("Ceilings.MostTries", 1), flag("Ceilings.SecondCopies"),
                flag("Ceilings.Cancel"), flag("Ceilings.Probes"), peers, retryAfter);
        ColdRule cold = new ColdRule(number("Rules.StartCapacity", 1), number("Rules.Cold", 0),
                number("Rules.FallMultiple", 1), number("Rules.TipAfter", 1000));
        String weights = values.getOrDefault("WeightKind", "none");
        return new Settings((int) number("Me", 0), (int) number("Balancers", 1), (int) number("Locality", 0),
                number("Round", 0), classes(), tenants(), limits, cold, "ask".equals(values.get("Discovery")),
                flag("Extra.TellsStart"), "nominal".equals(weights) || "rough".equals(weights),
                number("Charges.CrossZone", 0));
    }

    private List<JobClass> classes() {
        String[] kinds = values.getOrDefault("Extra.ClassKind", "").split(",");
        String[] priorities = values.getOrDefault("Extra.ClassPriority", "").split(",");
        String[] stretches = values.getOrDefault("Extra.ClassStretch", "").split(",");
        List<JobClass> classes = new ArrayList<>();
        int count = (int) number("Classes.count", 0);
        for (int i = 0; i < count; i++) {
            String at = "Classes." + i + ".";
            classes.add(new JobClass(values.getOrDefault(at + "Name", ""),
                    effect(at + "Effect"), scope(at + "KeyScope"),
                    number(at + "Window", 0), number(at + "GoalTime", 1000),
                    item("Extra.ClassStretch", stretches, i, number(at + "AimStretch", 0)),
                    number(at + "Deadline", 1000), number(at + "Worth", 1), number(at + "LateWorth", 0),
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
            tenants.add(new Tenant(values.getOrDefault(at + "Name", ""), number(at + "Share", 0),
                    number(at + "AllowancePerS", 0)));
        }
        return tenants;
    }

    private Effect effect(String path) {
        String word = values.getOrDefault(path, "at_most_once");
        return switch (word) {
            case "idempotent" -> Effect.SAFE;
            case "deduplicated" -> Effect.KEYED;
            case "at_most_once" -> Effect.UNSAFE;
            default -> throw new WireException(path + " is unknown: " + word);
        };
    }

    private Scope scope(String path) {
        String word = values.getOrDefault(path, "cell");
        return switch (word) {
            case "all" -> Scope.ALL;
            case "zone" -> Scope.ZONE;
            case "cell" -> Scope.CELL;
            default -> throw new WireException(path + " is unknown: " + word);
        };
    }

    private double item(String path, String[] items, int i, double absent) {
        boolean missing = i >= items.length || items[i].isEmpty() || "-".equals(items[i]);
        return missing ? absent : parse(path, items[i]);
    }

    private double number(String path, double absent) {
        String value = values.get(path);
        return value == null || "-".equals(value) || value.isEmpty() ? absent : parse(path, value);
    }

    private static double parse(String path, String value) {
        try {
            return Double.parseDouble(value);
        } catch (NumberFormatException notANumber) {
            throw new WireException("setting " + path + " is not a number: " + value);
        }
    }

    private boolean flag(String path) {
        return "true".equals(values.get(path));
    }
}
