package ferngrade.experiment;

import ferngrade.golden.GoldenFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes to the file format of an experiment's results. */
class ResultsGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("results.txt");
  private static final List<String> FILES =
      List.of("results.json", "trials.csv", "summary.csv", "series.csv");

  @TempDir private Path folder;

  private static Results results() {
    Map<String, Double> figures = new LinkedHashMap<>();
    figures.put("goodput", 0.1 + 0.2);
    figures.put("late share", 1e-9);
    Map<String, Double> byClass = Map.of("plan", 0.75);
    Map<String, double[]> series = Map.of("goodput", new double[] {0.5, 1, 0.25});
    ExperimentRun.Result first =
        new ExperimentRun.Result(
            "load = 0.9",
            "module",
            1,
            figures,
            byClass,
            Map.of("tenant-0", 0.5),
            series,
            250,
            Map.of("no-repeat", 2L),
            List.of("no-repeat at 1.0 ms: \"x\""),
            3,
            "abcd",
            400,
            30_000.5,
            12.25);
    ExperimentRun.Result second =
        new ExperimentRun.Result(
            "load = 0.9",
            "module",
            2,
            figures,
            byClass,
            Map.of("tenant-0", 0.25),
            series,
            250,
            Map.of("no-repeat", 0L),
            List.of(),
            0,
            "ef01",
            401,
            30_000,
            13);
    return new Results(
        Results.FORMAT,
        "small",
        "A small one",
        "module",
        3,
        false,
        "name = \"small\"\n",
        List.of(first, second));
  }

  @Test
  void filesMatchTheGoldenFile() throws Exception {
    results().write(folder);
    for (String file : FILES) {
      GOLDEN.verifyLines(file, Files.readString(folder.resolve(file)));
    }
  }

  @Test
  void resultsAreUnchangedAfterReadingAndWriting() throws Exception {
    results().write(folder);
    Results.read(folder).write(folder);
    GOLDEN.verifyLines("results.json", Files.readString(folder.resolve("results.json")));
  }
}
