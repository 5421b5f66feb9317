package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.Fault;
import ferngrade.emulator.KindSpec;
import ferngrade.emulator.Mutation;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.TenantSpec;
import ferngrade.emulator.WorkloadSpec;
import ferngrade.emulator.policy.Policies;
import ferngrade.toml.FileException;
import ferngrade.toml.Section;
import ferngrade.toml.TomlLines;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

/** Reads experiments. What a file leaves out is as in {@link Scenario#standard}. */
public final class ExperimentReader {
  private final String file;
  private final Path folder;
  private final TomlLines lines;

  private ExperimentReader(String file, Path folder, TomlLines lines) {
    this.file = file;
    this.folder = folder;
    this.lines = lines;
  }

  /** Reads a file. */
  public static Experiment read(Path path) throws FileException {
    return read(path.toString(), path.toAbsolutePath().getParent(), Section.text(path));
  }

  /**
   * Reads a text; {@code file} is its name in messages, and traces are looked for in {@code
   * folder}.
   */
  public static Experiment read(String file, Path folder, String text) throws FileException {
    return new ExperimentReader(file, folder, new TomlLines(text))
        .experiment(Section.parse(file, text));
  }

  /** Reads a tree that was an experiment before it was changed. */
  public static Experiment read(String file, Path folder, JsonNode root) throws FileException {
    return new ExperimentReader(file, folder, new TomlLines("")).experiment(root);
  }

  private Experiment experiment(JsonNode root) throws FileException {
    Section top = new Section(file, lines, "", root);
    List<String> policies = top.texts("policies", List.of("module"));
    for (String policy : policies) {
      if (!Policies.names().contains(policy)) {
        throw top.bad(
            "policies",
            "holds an unknown one: \""
                + policy
                + "\"; there are "
                + String.join(", ", Policies.names()));
      }
    }
    List<Long> seeds = seeds(top);
    Mutation mutation = top.word("mutation", Mutation.class, Mutation.NONE);
    List<Experiment.Point> points = new ArrayList<>();
    for (Map<String, JsonNode> setting : settings(top)) {
      JsonNode changed = root.deepCopy();
      ((ObjectNode) changed).remove("sweep");
      Map<String, String> parameters = new LinkedHashMap<>();
      for (Map.Entry<String, JsonNode> each : setting.entrySet()) {
        set(top, (ObjectNode) changed, each.getKey(), each.getValue());
        parameters.put(each.getKey(), words(each.getValue()));
      }
      Section section = new Section(file, lines, "", changed);
      for (String key : List.of("name", "title", "policies", "seeds", "mutation")) {
        section.has(key);
      }
      points.add(new Experiment.Point(parameters, scenario(section)));
    }
    return new Experiment(
        top.text("name", "experiment"),
        top.text("title", ""),
        points,
        policies,
        seeds,
        mutation,
        root);
  }

  private static List<Long> seeds(Section top) throws FileException {
    List<Long> seeds = new ArrayList<>();
    if (top.numeric("seeds")) {
      double count = top.number("seeds", 1);
      if (count < 1 || count != Math.rint(count) || count > 10_000) {
        throw top.bad("seeds", "must be a list, or a whole number from 1 to 10000");
      }
      for (long seed = 1; seed <= count; seed++) {
        seeds.add(seed);
      }
      return seeds;
    }
    if (!top.has("seeds")) {
      return List.of(1L);
    }
    for (JsonNode each : top.values("seeds")) {
      if (!each.canConvertToLong() || !each.isIntegralNumber()) {
        throw top.bad("seeds", "holds what is not a whole number: " + each);
      }
      seeds.add(each.asLong());
    }
    return seeds;
  }

  /** Every combination of the swept parameters; one empty setting where nothing is swept. */
  private static List<Map<String, JsonNode>> settings(Section top) throws FileException {
    Section sweep = top.section("sweep");
    List<Map<String, JsonNode>> settings = new ArrayList<>(List.of(Map.of()));
    for (String key : sweep.keys()) {
      List<Map<String, JsonNode>> wider = new ArrayList<>();
      for (Map<String, JsonNode> setting : settings) {
        for (JsonNode value : sweep.values(key)) {
          Map<String, JsonNode> more = new LinkedHashMap<>(setting);
          more.put(key, value);
          wider.add(more);
        }
      }
      settings = wider;
    }
    return settings;
  }

  /**
   * One parameter, or several that are swept together: their paths with commas between, their
   * values in a list.
   */
  private static void set(Section top, ObjectNode root, String paths, JsonNode value)
      throws FileException {
    String[] all = paths.split("\\s*,\\s*", 0);
    if (all.length > 1 && (!value.isArray() || value.size() != all.length)) {
      throw top.bad("sweep." + paths, "needs a list of " + all.length + " values for each setting");
    }
    for (int i = 0; i < all.length; i++) {
      put(top, root, all[i], all.length == 1 ? value : value.get(i));
    }
  }

  /** A value of a sweep in one word. */
  static String words(JsonNode value) {
    if (!value.isArray()) {
      return value.asText();
    }
    List<String> words = new ArrayList<>();
    value.forEach(each -> words.add(words(each)));
    return String.join(" ", words);
  }

  private static void put(Section top, ObjectNode root, String path, JsonNode value)
      throws FileException {
    String[] steps = path.split("\\.", 0);
    JsonNode at = root;
    for (int i = 0; i < steps.length - 1; i++) {
      boolean item = at.isArray();
      JsonNode inner = item ? at.get(index(top, path, steps[i])) : at.get(steps[i]);
      if (inner == null && !item && !steps[i + 1].matches("[0-9]+")) {
        inner = ((ObjectNode) at).putObject(steps[i]);
      }
      if (inner == null || !inner.isContainerNode()) {
        throw top.bad(
            "sweep." + path, "leads nowhere at " + steps[i + (inner == null && !item ? 1 : 0)]);
      }
      at = inner;
    }
    if (!at.isObject()) {
      throw top.bad("sweep." + path, "does not end in a table's key");
    }
    ((ObjectNode) at).set(steps[steps.length - 1], value);
  }

  private static int index(Section top, String path, String step) throws FileException {
    try {
      return Integer.parseInt(step);
    } catch (NumberFormatException notANumber) {
      throw top.bad("sweep." + path, "needs a number for the item of a list, not " + step);
    }
  }

  private Scenario scenario(Section top) throws FileException {
    Scenario scenario = Scenario.standard();
    scenario.duration = top.time("duration", scenario.duration);
    Section fleet = top.section("fleet");
    Fields.fill(fleet, scenario);
    scenario.zones = zones(fleet, scenario.zones);
    List<Section> kinds = fleet.sections("kind");
    if (!kinds.isEmpty()) {
      scenario.kinds.clear();
      for (Section kind : kinds) {
        scenario.kinds.add(Fields.fill(kind, new KindSpec()));
        kind.end();
      }
    }
    fleet.end();
    workload(top.section("workload"), scenario.workload);
    Section network = top.section("network");
    Fields.fill(network, scenario.network);
    network.end();
    Section discovery = top.section("discovery");
    Fields.fill(discovery, scenario.discovery);
    discovery.end();
    if (scenario.discovery.noticeMost < scenario.discovery.noticeLeast) {
      throw discovery.bad("notice-most", "is less than notice-least");
    }
    for (Section fault : top.sections("fault")) {
      scenario.faults.add(fault(fault, scenario));
    }
    top.end();
    if (scenario.duration <= 0) {
      throw top.bad("duration", "must be above 0");
    }
    return scenario;
  }

  /** Zones by name, or so many of them. */
  private static List<String> zones(Section fleet, List<String> absent) throws FileException {
    if (!fleet.numeric("zones")) {
      return new ArrayList<>(fleet.texts("zones", absent));
    }
    double count = fleet.number("zones", 0);
    if (count < 1 || count != Math.rint(count) || count > 10_000) {
      throw fleet.bad("zones", "must be a list of names, or a whole number from 1 to 10000");
    }
    return new ArrayList<>(IntStream.range(0, (int) count).mapToObj(zone -> "z" + zone).toList());
  }

  private void workload(Section section, WorkloadSpec workload) throws FileException {
    Fields.fill(section, workload);
    if (section.has("rate") && section.has("load")) {
      throw section.bad("rate", "and load are both given; one of them sets the arrivals");
    }
    List<Section> classes = section.sections("class");
    if (!classes.isEmpty()) {
      workload.classes.clear();
      for (Section each : classes) {
        workload.classes.add(Fields.fill(each, new ClassSpec()));
        each.end();
      }
    }
    List<Section> tenants = section.sections("tenant");
    if (!tenants.isEmpty()) {
      workload.tenants.clear();
      for (Section each : tenants) {
        TenantSpec tenant = new TenantSpec();
        tenant.share = each.number("share", 1);
        tenant.usage = each.number("usage", tenant.share);
        tenant.name = each.text("name", "tenant-" + workload.tenants.size());
        workload.tenants.add(tenant);
        each.end();
      }
    }
    String trace = section.text("trace", null);
    if (trace != null) {
      workload.trace = trace(section, trace, workload);
    }
    section.end();
  }

  /**
   * A trace has a line for each arrival: its time in ms, its class and tenant by name, and its work
   * in ms.
   */
  private List<WorkloadSpec.Arrival> trace(Section section, String name, WorkloadSpec workload)
      throws FileException {
    List<String> classes = workload.classes.stream().map(each -> each.name).toList();
    List<String> tenants = workload.tenants.stream().map(each -> each.name).toList();
    List<WorkloadSpec.Arrival> arrivals = new ArrayList<>();
    List<String> rows;
    try {
      rows = Files.readAllLines(folder.resolve(name));
    } catch (IOException unreadable) {
      throw section.bad("trace", "cannot be read: " + unreadable.getMessage());
    }
    double last = 0;
    for (int i = 0; i < rows.size(); i++) {
      String row = rows.get(i).strip();
      if (row.isEmpty() || row.startsWith("#")) {
        continue;
      }
      String[] cells = row.split("\\s*,\\s*", 0);
      String where = folder.resolve(name).getFileName() + ":" + (i + 1);
      try {
        double at = Double.parseDouble(cells[0]);
        double work = Double.parseDouble(cells[3]);
        int jobClass = classes.indexOf(cells[1]);
        int tenant = tenants.indexOf(cells[2]);
        if (cells.length != 4 || !(at >= last) || !(work > 0) || jobClass < 0 || tenant < 0) {
          throw new FileException(
              where,
              "needs a time that does not go back, a class, a tenant and a"
                  + " work above 0: "
                  + row);
        }
        last = at;
        arrivals.add(new WorkloadSpec.Arrival(at, jobClass, tenant, work));
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException malformed) {
        throw new FileException(where, "is not time,class,tenant,work: " + row);
      }
    }
    return arrivals;
  }

  private static Fault fault(Section section, Scenario scenario) throws FileException {
    Fault.Kind kind = section.word("kind", Fault.Kind.class, null);
    if (kind == null) {
      throw section.bad("kind", "is missing");
    }
    double size = section.number("size", standardSize(kind));
    double part = section.number("part", kind == Fault.Kind.ZONE_CUT ? 0 : 0.5);
    double target = section.has("target") ? section.number("target", 0) : -1;
    if (size <= 0) {
      throw section.bad("size", "must be above 0");
    }
    if (part > 1) {
      throw section.bad("part", "must be between 0 and 1");
    }
    Fault fault =
        new Fault(
            kind,
            section.time("at", scenario.duration / 3),
            section.time("length", scenario.duration / 3),
            size,
            part,
            (int) target);
    section.end();
    return fault;
  }

  private static double standardSize(Fault.Kind kind) {
    return switch (kind) {
      case DEPLOY -> 0.15;
      case SLOW_WORKER -> 5;
      case TENANT_FLOOD -> 4;
      default -> 2;
    };
  }
}
