package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.Fault;
import ferngrade.emulator.Mutation;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.TenantSpec;
import ferngrade.emulator.WorkerTypeSpec;
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

/** Reads experiments from TOML files. Omitted keys have the values of {@link Scenario#standard}. */
public final class ExperimentReader {
  private final String file;
  private final Path folder;
  private final TomlLines lines;

  private ExperimentReader(String file, Path folder, TomlLines lines) {
    this.file = file;
    this.folder = folder;
    this.lines = lines;
  }

  /** Reads the experiment in this file. */
  public static Experiment read(Path path) throws FileException {
    return read(path.toString(), path.toAbsolutePath().getParent(), Section.readText(path));
  }

  /**
   * Reads the experiment in this text. {@code file} is the file name in error messages; paths of
   * traces are relative to {@code folder}.
   */
  public static Experiment read(String file, Path folder, String text) throws FileException {
    return new ExperimentReader(file, folder, new TomlLines(text))
        .experiment(Section.parse(file, text));
  }

  /**
   * Reads an experiment from a modified copy of {@link Experiment#source}. Error messages have no
   * line numbers.
   */
  public static Experiment read(String file, Path folder, JsonNode root) throws FileException {
    return new ExperimentReader(file, folder, new TomlLines("")).experiment(root);
  }

  private Experiment experiment(JsonNode root) throws FileException {
    Section top = new Section(file, lines, "", root);
    List<String> policies = top.strings("policies", List.of("module"));
    for (String policy : policies) {
      if (!Policies.names().contains(policy)) {
        throw top.error(
            "policies",
            "contains an unknown policy: \""
                + policy
                + "\"; known policies are "
                + String.join(", ", Policies.names()));
      }
    }
    List<Long> seeds = seeds(top);
    Mutation mutation = top.enumValue("mutation", Mutation.class, Mutation.NONE);
    List<Experiment.Point> points = new ArrayList<>();
    for (Map<String, JsonNode> combination : combinations(top)) {
      JsonNode modifiedRoot = root.deepCopy();
      ((ObjectNode) modifiedRoot).remove("sweep");
      Map<String, String> parameters = new LinkedHashMap<>();
      for (Map.Entry<String, JsonNode> parameter : combination.entrySet()) {
        setParameter(top, (ObjectNode) modifiedRoot, parameter.getKey(), parameter.getValue());
        parameters.put(parameter.getKey(), formatValue(parameter.getValue()));
      }
      Section section = new Section(file, lines, "", modifiedRoot);
      for (String key : List.of("name", "title", "policies", "seeds", "mutation")) {
        section.has(key);
      }
      points.add(new Experiment.Point(parameters, scenario(section)));
    }
    return new Experiment(
        top.string("name", "experiment"),
        top.string("title", ""),
        points,
        policies,
        seeds,
        mutation,
        root);
  }

  private static List<Long> seeds(Section top) throws FileException {
    List<Long> seeds = new ArrayList<>();
    if (top.isNumber("seeds")) {
      double count = top.number("seeds", 1);
      if (count < 1 || count != Math.rint(count) || count > 10_000) {
        throw top.error("seeds", "must be a list, or a whole number from 1 to 10000");
      }
      for (long seed = 1; seed <= count; seed++) {
        seeds.add(seed);
      }
      return seeds;
    }
    if (!top.has("seeds")) {
      return List.of(1L);
    }
    for (JsonNode seed : top.values("seeds")) {
      if (!seed.canConvertToLong() || !seed.isIntegralNumber()) {
        throw top.error("seeds", "contains a value that is not an integer: " + seed);
      }
      seeds.add(seed.asLong());
    }
    return seeds;
  }

  /**
   * Returns every combination of the swept parameters, or one empty combination if nothing is
   * swept.
   */
  private static List<Map<String, JsonNode>> combinations(Section top) throws FileException {
    Section sweep = top.section("sweep");
    List<Map<String, JsonNode>> combinations = new ArrayList<>(List.of(Map.of()));
    for (String key : sweep.keys()) {
      List<Map<String, JsonNode>> extended = new ArrayList<>();
      for (Map<String, JsonNode> combination : combinations) {
        for (JsonNode value : sweep.values(key)) {
          Map<String, JsonNode> extendedCombination = new LinkedHashMap<>(combination);
          extendedCombination.put(key, value);
          extended.add(extendedCombination);
        }
      }
      combinations = extended;
    }
    return combinations;
  }

  /**
   * Sets one swept parameter, or several that are swept together: {@code paths} then holds their
   * paths separated by commas, and {@code value} a list with one value for each path.
   */
  private static void setParameter(Section top, ObjectNode root, String paths, JsonNode value)
      throws FileException {
    String[] pathList = paths.split("\\s*,\\s*", 0);
    if (pathList.length > 1 && (!value.isArray() || value.size() != pathList.length)) {
      throw top.error(
          "sweep." + paths, "needs a list of " + pathList.length + " values for each point");
    }
    for (int i = 0; i < pathList.length; i++) {
      setAtPath(top, root, pathList[i], pathList.length == 1 ? value : value.get(i));
    }
  }

  /** Returns a value of a sweep as text; the elements of a list are separated by spaces. */
  static String formatValue(JsonNode value) {
    if (!value.isArray()) {
      return value.asText();
    }
    List<String> parts = new ArrayList<>();
    value.forEach(element -> parts.add(formatValue(element)));
    return String.join(" ", parts);
  }

  private static void setAtPath(Section top, ObjectNode root, String path, JsonNode value)
      throws FileException {
    String[] keys = path.split("\\.", 0);
    JsonNode current = root;
    for (int i = 0; i < keys.length - 1; i++) {
      boolean inArray = current.isArray();
      JsonNode child = inArray ? current.get(index(top, path, keys[i])) : current.get(keys[i]);
      if (child == null && !inArray && !keys[i + 1].matches("[0-9]+")) {
        child = ((ObjectNode) current).putObject(keys[i]);
      }
      if (child == null || !child.isContainerNode()) {
        throw top.error(
            "sweep." + path,
            "cannot be resolved at " + keys[i + (child == null && !inArray ? 1 : 0)]);
      }
      current = child;
    }
    if (!current.isObject()) {
      throw top.error("sweep." + path, "does not end at a key of a table");
    }
    ((ObjectNode) current).set(keys[keys.length - 1], value);
  }

  private static int index(Section top, String path, String key) throws FileException {
    try {
      return Integer.parseInt(key);
    } catch (NumberFormatException e) {
      throw top.error("sweep." + path, "needs the index of a list element, not " + key);
    }
  }

  private Scenario scenario(Section top) throws FileException {
    Scenario scenario = Scenario.standard();
    scenario.duration = top.durationMillis("duration", scenario.duration);
    Section fleet = top.section("fleet");
    Fields.fill(fleet, scenario);
    scenario.zones = zones(fleet, scenario.zones);
    List<Section> kinds = fleet.sections("kind");
    if (!kinds.isEmpty()) {
      scenario.kinds.clear();
      for (Section kind : kinds) {
        scenario.kinds.add(Fields.fill(kind, new WorkerTypeSpec()));
        kind.rejectUnknownKeys();
      }
    }
    fleet.rejectUnknownKeys();
    workload(top.section("workload"), scenario.workload);
    Section network = top.section("network");
    Fields.fill(network, scenario.network);
    network.rejectUnknownKeys();
    Section discovery = top.section("discovery");
    Fields.fill(discovery, scenario.discovery);
    discovery.rejectUnknownKeys();
    if (scenario.discovery.noticeMost < scenario.discovery.noticeLeast) {
      throw discovery.error("notice-most", "is less than notice-least");
    }
    for (Section fault : top.sections("fault")) {
      scenario.faults.add(fault(fault, scenario));
    }
    top.rejectUnknownKeys();
    if (scenario.duration <= 0) {
      throw top.error("duration", "must be above 0");
    }
    return scenario;
  }

  /** Reads the zones: either a list of names, or a number of zones to be named z0, z1 and so on. */
  private static List<String> zones(Section fleet, List<String> defaults) throws FileException {
    if (!fleet.isNumber("zones")) {
      return new ArrayList<>(fleet.strings("zones", defaults));
    }
    double count = fleet.number("zones", 0);
    if (count < 1 || count != Math.rint(count) || count > 10_000) {
      throw fleet.error("zones", "must be a list of names, or a whole number from 1 to 10000");
    }
    return new ArrayList<>(IntStream.range(0, (int) count).mapToObj(zone -> "z" + zone).toList());
  }

  private void workload(Section section, WorkloadSpec workload) throws FileException {
    Fields.fill(section, workload);
    if (section.has("rate") && section.has("load")) {
      throw section.error(
          "rate", "and load are both set; only one of them may define the arrivals");
    }
    List<Section> classes = section.sections("class");
    if (!classes.isEmpty()) {
      workload.classes.clear();
      for (Section classSection : classes) {
        workload.classes.add(Fields.fill(classSection, new ClassSpec()));
        classSection.rejectUnknownKeys();
      }
    }
    List<Section> tenants = section.sections("tenant");
    if (!tenants.isEmpty()) {
      workload.tenants.clear();
      for (Section tenantSection : tenants) {
        TenantSpec tenant = new TenantSpec();
        tenant.share = tenantSection.number("share", 1);
        tenant.usage = tenantSection.number("usage", tenant.share);
        tenant.name = tenantSection.string("name", "tenant-" + workload.tenants.size());
        workload.tenants.add(tenant);
        tenantSection.rejectUnknownKeys();
      }
    }
    String trace = section.string("trace", null);
    if (trace != null) {
      workload.trace = trace(section, trace, workload);
    }
    section.rejectUnknownKeys();
  }

  /**
   * Reads a trace. It has one line per arrival: time in ms, name of the class, name of the tenant
   * and work in ms, separated by commas. Empty lines and lines that start with # are ignored.
   */
  private List<WorkloadSpec.Arrival> trace(Section section, String name, WorkloadSpec workload)
      throws FileException {
    List<String> classes = workload.classes.stream().map(jobClass -> jobClass.name).toList();
    List<String> tenants = workload.tenants.stream().map(tenant -> tenant.name).toList();
    List<WorkloadSpec.Arrival> arrivals = new ArrayList<>();
    List<String> rows;
    try {
      rows = Files.readAllLines(folder.resolve(name));
    } catch (IOException e) {
      throw section.error("trace", "cannot be read: " + e.getMessage());
    }
    double previousMillis = 0;
    for (int i = 0; i < rows.size(); i++) {
      String row = rows.get(i).strip();
      if (row.isEmpty() || row.startsWith("#")) {
        continue;
      }
      String[] cells = row.split("\\s*,\\s*", 0);
      String location = folder.resolve(name).getFileName() + ":" + (i + 1);
      try {
        double arrivalMillis = Double.parseDouble(cells[0]);
        double work = Double.parseDouble(cells[3]);
        int jobClass = classes.indexOf(cells[1]);
        int tenant = tenants.indexOf(cells[2]);
        if (cells.length != 4
            || !(arrivalMillis >= previousMillis)
            || !(work > 0)
            || jobClass < 0
            || tenant < 0) {
          throw new FileException(
              location,
              "needs a time that is not before the previous one, a known class, a known tenant and"
                  + " work above 0: "
                  + row);
        }
        previousMillis = arrivalMillis;
        arrivals.add(new WorkloadSpec.Arrival(arrivalMillis, jobClass, tenant, work));
      } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
        throw new FileException(location, "is not time,class,tenant,work: " + row);
      }
    }
    return arrivals;
  }

  private static Fault fault(Section section, Scenario scenario) throws FileException {
    Fault.Kind kind = section.enumValue("kind", Fault.Kind.class, null);
    if (kind == null) {
      throw section.error("kind", "is missing");
    }
    double size = section.number("size", defaultSize(kind));
    double part = section.number("part", kind == Fault.Kind.ZONE_CUT ? 0 : 0.5);
    double target = section.has("target") ? section.number("target", 0) : -1;
    if (size <= 0) {
      throw section.error("size", "must be above 0");
    }
    if (part > 1) {
      throw section.error("part", "must be between 0 and 1");
    }
    Fault fault =
        new Fault(
            kind,
            section.durationMillis("at", scenario.duration / 3),
            section.durationMillis("length", scenario.duration / 3),
            size,
            part,
            (int) target);
    section.rejectUnknownKeys();
    return fault;
  }

  private static double defaultSize(Fault.Kind kind) {
    return switch (kind) {
      case DEPLOY -> 0.15;
      case SLOW_WORKER -> 5;
      case TENANT_FLOOD -> 4;
      default -> 2;
    };
  }
}
