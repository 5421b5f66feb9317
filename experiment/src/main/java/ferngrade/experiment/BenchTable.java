package ferngrade.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import ferngrade.toml.FileException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * What a bench's journal holds of days on real sockets, as one page: for each site and day the last
 * play, how many there were, and how far plays of one build on one seed lie apart, which is what a
 * single play can be wrong by.
 */
final class BenchTable {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** One play of one day: when, of which build, on which seed, and what it came to. */
  private record Play(
      String at, String build, long seed, double worth, double floor, double top, double score) {}

  /** One run of a panel. */
  private record Panel(String at, String build, double score, String gate, int days) {}

  private final Map<String, List<Play>> days = new TreeMap<>();
  private final Map<String, List<Panel>> panels = new TreeMap<>();

  /** Reads all entries of a journal's folder; one that is none is an error that names it. */
  BenchTable(Path folder) throws FileException {
    List<Path> files;
    try (Stream<Path> some = Files.list(folder)) {
      files = some.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    } catch (IOException unreadable) {
      throw new FileException(folder.toString(), "cannot be read: " + unreadable.getMessage());
    }
    for (Path file : files) {
      try {
        read(JSON.readTree(file.toFile()));
      } catch (IOException malformed) {
        throw new FileException(file.toString(), "is no entry of a journal");
      }
    }
  }

  private void read(JsonNode entry) {
    if (!entry.path("cmd").asText().equals("real-score") || !entry.path("ok").asBoolean()) {
      return;
    }
    String site = entry.path("site").asText();
    String at = entry.path("at").path(0).asText();
    String policy = entry.path("policy").path(0).path("sha256").asText("none");
    String build =
        entry.path("node_sha").asText("none").substring(0, 4) + "-" + policy.substring(0, 4);
    String gate =
        entry.path("figures").has("gate")
            ? entry.path("figures").path("gate").asDouble() == 1 ? "passed" : "failed"
            : "";
    JsonNode played = entry.path("days");
    panels
        .computeIfAbsent(
            site + " | " + entry.path("panel").asText().replaceAll("^real:[^:]*:[^:]*:", ""),
            key -> new ArrayList<>())
        .add(
            new Panel(
                at,
                build,
                entry.path("figures").path("real_score").asDouble(),
                gate,
                played.size()));
    for (JsonNode day : played) {
      days.computeIfAbsent(site + " | " + day.path("name").asText(), key -> new ArrayList<>())
          .add(
              new Play(
                  at,
                  build,
                  day.path("seed").asLong(),
                  day.path("G").asDouble(),
                  day.path("G_floor").asDouble(),
                  day.path("G_top").asDouble(),
                  day.path("score").asDouble()));
    }
  }

  /** The widest distance between two plays of one build on one seed, NaN if there are no two. */
  private static double spread(List<Play> plays) {
    Map<String, double[]> ranges = new TreeMap<>();
    Map<String, Integer> counts = new TreeMap<>();
    for (Play each : plays) {
      String like = each.build() + " " + each.seed();
      double[] range =
          ranges.computeIfAbsent(like, key -> new double[] {each.score(), each.score()});
      range[0] = Math.min(range[0], each.score());
      range[1] = Math.max(range[1], each.score());
      counts.merge(like, 1, Integer::sum);
    }
    return ranges.entrySet().stream()
        .filter(each -> counts.get(each.getKey()) > 1)
        .mapToDouble(each -> each.getValue()[1] - each.getValue()[0])
        .max()
        .orElse(Double.NaN);
  }

  /** The page, in Markdown. */
  String markdown() {
    StringBuilder page =
        new StringBuilder(
            "# The bench, as its journal has it\n\n"
                + "Made by `bin/ferngrade experiment bench journal`; not to be edited. A build is"
                + " named by the node's and the module's hashes.\n\n"
                + "## Panels, the last run of each\n\n"
                + "| site | days | score | gate | build | when | runs |\n"
                + "| --- | --- | --- | --- | --- | --- | --- |\n");
    panels.forEach(
        (name, runs) -> {
          Panel last = runs.get(runs.size() - 1);
          page.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %.3f | %s | %s | %s | %d |%n",
                  name.replace(",", ", "),
                  last.score(),
                  last.gate(),
                  last.build(),
                  last.at(),
                  runs.size()));
        });
    page.append(
        "\n## Days\n\nSpread: the widest distance between plays of one build on one seed.\n\n"
            + "| site | day | score | G | floor | top | build | before | plays | spread |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    days.forEach(
        (name, plays) -> {
          Play last = plays.get(plays.size() - 1);
          String before =
              plays.stream()
                  .filter(each -> !each.build().equals(last.build()) && each.seed() == last.seed())
                  .reduce((first, second) -> second)
                  .map(each -> String.format(Locale.ROOT, "%.2f", each.score()))
                  .orElse("");
          double spread = spread(plays);
          page.append(
              String.format(
                  Locale.ROOT,
                  "| %s | %.2f | %.3f | %.3f | %.3f | %s | %s | %d | %s |%n",
                  name,
                  last.score(),
                  last.worth(),
                  last.floor(),
                  last.top(),
                  last.build(),
                  before,
                  plays.size(),
                  Double.isNaN(spread) ? "" : String.format(Locale.ROOT, "%.2f", spread)));
        });
    return page.toString();
  }
}
