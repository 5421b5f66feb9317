package ferngrade.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.cli.Cli;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against incomplete or irreproducible results of experiments, comparisons and searches. */
class ExperimentRunnerTest {
  private static final String SMALL =
      """
      name = "small"
      duration = "6s"
      seeds = 2
      policies = ["module", "random"]
      [fleet]
      nodes = 2
      workers = 6
      [[fault]]
      kind = "burst"
      at = "1s"
      length = "2s"
      [[fault]]
      kind = "deploy"
      at = "2s"
      length = "3s"
      part = 0.6
      size = 0.3
      """;

  @TempDir private Path folder;

  private Path writeExperiment(String text) throws Exception {
    return Files.writeString(folder.resolve("e.toml"), text);
  }

  @Test
  void runWritesResultsTablesChartsAndSelfContainedReport() throws Exception {
    Path out = folder.resolve("out");
    assertEquals(
        0,
        Cli.run("experiment", "run", writeExperiment(SMALL).toString(), "--out", out.toString()));
    Results results = Results.read(out);
    assertTrue(results.complete());
    assertEquals(4, results.trials().size());
    String page = Files.readString(out.resolve("report.html"));
    assertTrue(page.contains("data:image/png;base64,"));
    assertFalse(page.matches("(?s).*(src|href)=\"(?!data:).*"));
    assertEquals(5, Files.readAllLines(out.resolve("trials.csv")).size());
    byte[] png = Files.readAllBytes(out.resolve("goodput-over-time.png"));
    assertEquals("PNG", new String(png, 1, 3, StandardCharsets.US_ASCII));
    // The report command rewrites an identical file, and comparing a result with itself shows no
    // difference.
    String before = Files.readString(out.resolve("results.json"));
    assertEquals(0, Cli.run("experiment", "report", out.toString()));
    assertEquals(before, Files.readString(out.resolve("results.json")));
    new Comparison(results, Results.read(out))
        .rows()
        .forEach(
            row -> {
              assertEquals(0, row.difference().mean());
              assertFalse(row.difference().differsFromZero());
            });
  }

  @Test
  void resultsDoNotDependOnTheNumberOfThreads() throws Exception {
    Experiment experiment = ExperimentReader.read(writeExperiment(SMALL));
    List<String> singleThreaded = traces(experiment, 1);
    assertEquals(singleThreaded, traces(experiment, 4));
    assertEquals(4, singleThreaded.stream().distinct().count());
  }

  private static List<String> traces(Experiment experiment, int threads)
      throws InterruptedException {
    List<ExperimentRun.Result> trials = new ExperimentRunner(threads).run(experiment, result -> {});
    return Results.of(experiment, trials).trials().stream()
        .map(ExperimentRun.Result::trace)
        .toList();
  }

  @Test
  void interruptedRunWritesFinishedTrials() throws Exception {
    Experiment experiment = ExperimentReader.read(writeExperiment(SMALL));
    ExperimentRunner runner = new ExperimentRunner(1);
    List<ExperimentRun.Result> trials = runner.run(experiment, result -> runner.stop());
    assertTrue(
        !trials.isEmpty() && trials.size() < experiment.trials(), "trials: " + trials.size());
    Results results = Results.of(experiment, trials);
    assertFalse(results.complete());
    results.write(folder);
    Report.write(results, folder);
    assertTrue(Files.readString(folder.resolve("report.html")).contains("Stopped early"));
  }

  @Test
  void invalidExperimentExitsWithCode2AndWritesNoResults() throws Exception {
    Path out = folder.resolve("none");
    assertEquals(
        2,
        Cli.run(
            "experiment",
            "run",
            writeExperiment("duration = 5\n").toString(),
            "--out",
            out.toString()));
    assertEquals(2, Cli.run("experiment", "compare", out.toString(), out.toString()));
    assertFalse(Files.exists(out));
  }

  @Test
  void searchFindsViolationAndMinimizesIt() throws Exception {
    Experiment experiment =
        ExperimentReader.read(
            writeExperiment(
                "mutation = \"double-send\"\n"
                    + SMALL.replace("[\"module\", \"random\"]", "[\"module\"]")));
    List<String> progressLines = new ArrayList<>();
    Search.Result found = new Search(experiment, folder, progressLines::add).run(4);
    assertTrue(found.violatesInvariant());
    assertTrue(found.result().breaches().get("no-repeat") > 0);
    // The violation does not depend on the faults, so the search removes them; two workers and one
    // second reproduce it.
    assertFalse(found.source().has("fault"), found.source().toString());
    assertEquals("1s", found.source().path("duration").asText());
    assertTrue(found.source().path("fleet").path("workers").asInt() <= 2);
    Experiment minimized = ExperimentReader.read("again", folder, found.source());
    ExperimentRun.Result replayed =
        new ExperimentRun("", minimized.policies().get(0), minimized.seeds().get(0))
            .runInVirtualTime(minimized.points().get(0).scenario(), minimized.mutation());
    assertEquals(found.result().trace(), replayed.trace());
  }

  @Test
  void estimateHasStudentIntervalExceptForASingleValue() {
    Estimate estimate = Estimate.of(1, 2, 3, 4, Double.NaN);
    assertEquals(2.5, estimate.mean());
    // The half width is t * s / sqrt(n), with the quantile t(0.975, 3) = 3.1824, the standard
    // deviation s = 1.2910 and n = 4 values.
    assertEquals(3.1824 * 1.2910 / 2, estimate.halfWidth(), 1e-3);
    assertTrue(estimate.differsFromZero());
    assertFalse(Estimate.of(5).differsFromZero());
  }
}
