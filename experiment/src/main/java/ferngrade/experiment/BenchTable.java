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
 * Summarizes the days on real sockets in a bench's journal as one page: for each site and day, it
 * shows the last play, the number of plays, and the largest score difference between plays of the
 * same build and seed. This difference is the error to expect in the score of a single play.
 */
final class BenchTable {
  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * One play, that is, a single run of a day. {@code worth}, {@code floor} and {@code top} are the
   * journal's G, G_floor and G_top.
   */
  private record DayPlay(
      String at, String build, long seed, double worth, double floor, double top, double score) {}

  /** One run of a panel. A panel is a set of days whose results are combined into one score. */
  private record Panel(String at, String build, double score, String gate, int days) {}

  private final Map<String, List<DayPlay>> days = new TreeMap<>();
  private final Map<String, List<Panel>> panels = new TreeMap<>();

  /**
   * Reads all entries in a journal's folder. A file that is not a journal entry is an error whose
   * message names the file.
   */
  BenchTable(Path folder) throws FileException {
    List<Path> files;
    try (Stream<Path> entries = Files.list(folder)) {
      files = entries.filter(file -> file.toString().endsWith(".json")).sorted().toList();
    } catch (IOException e) {
      throw new FileException(folder.toString(), "cannot be read: " + e.getMessage());
    }
    for (Path file : files) {
      try {
        read(JSON.readTree(file.toFile()));
      } catch (IOException e) {
        throw new FileException(file.toString(), "is not a journal entry");
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
    JsonNode playedDays = entry.path("days");
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
                playedDays.size()));
    for (JsonNode day : playedDays) {
      days.computeIfAbsent(site + " | " + day.path("name").asText(), key -> new ArrayList<>())
          .add(
              new DayPlay(
                  at,
                  build,
                  day.path("seed").asLong(),
                  day.path("G").asDouble(),
                  day.path("G_floor").asDouble(),
                  day.path("G_top").asDouble(),
                  day.path("score").asDouble()));
    }
  }

  /**
   * Returns the largest score difference between two plays of the same build and seed, or NaN if no
   * build and seed was played twice.
   */
  private static double spread(List<DayPlay> plays) {
    Map<String, double[]> ranges = new TreeMap<>();
    Map<String, Integer> counts = new TreeMap<>();
    for (DayPlay play : plays) {
      String buildAndSeed = play.build() + " " + play.seed();
      double[] range =
          ranges.computeIfAbsent(buildAndSeed, key -> new double[] {play.score(), play.score()});
      range[0] = Math.min(range[0], play.score());
      range[1] = Math.max(range[1], play.score());
      counts.merge(buildAndSeed, 1, Integer::sum);
    }
    return ranges.entrySet().stream()
        .filter(range -> counts.get(range.getKey()) > 1)
        .mapToDouble(range -> range.getValue()[1] - range.getValue()[0])
        .max()
        .orElse(Double.NaN);
  }

  /** Returns the page in Markdown. */
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
          DayPlay last = plays.get(plays.size() - 1);
          String before =
              plays.stream()
                  .filter(play -> !play.build().equals(last.build()) && play.seed() == last.seed())
                  .reduce((first, second) -> second)
                  .map(play -> String.format(Locale.ROOT, "%.2f", play.score()))
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
