package ferngrade.experiment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import ferngrade.toml.FileException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/**
 * The results of an experiment. The component names are the keys in {@code results.json}: {@code
 * policyFirst} is the first policy, {@code asked} the number of requested trials, {@code complete}
 * is true if all of them finished, and {@code experiment} is the experiment's source.
 */
public record Results(
    int format,
    String name,
    String title,
    String policyFirst,
    int asked,
    boolean complete,
    String experiment,
    List<ExperimentRun.Result> trials) {
  /** The version of the file format. */
  public static final int FORMAT = 1;

  private static final String FILE = "results.json";
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** One cell of a result table: a point of the sweep under one policy. */
  public record Cell(String point, String policy) {}

  /**
   * Returns the results of these trials, sorted by point, policy and seed so that the order does
   * not depend on which trial finished first.
   */
  public static Results of(Experiment experiment, List<ExperimentRun.Result> trials) {
    List<String> points = experiment.points().stream().map(Experiment.Point::label).toList();
    List<ExperimentRun.Result> sorted = new ArrayList<>(trials);
    sorted.sort(
        Comparator.<ExperimentRun.Result>comparingInt(trial -> points.indexOf(trial.point()))
            .thenComparingInt(trial -> experiment.policies().indexOf(trial.policy()))
            .thenComparingLong(ExperimentRun.Result::seed));
    return new Results(
        FORMAT,
        experiment.name(),
        experiment.title(),
        experiment.policies().get(0),
        experiment.trials(),
        sorted.size() == experiment.trials(),
        experiment.source().toString(),
        sorted);
  }

  /** Reads the results that {@link #write} wrote to this folder. */
  public static Results read(Path folder) throws FileException {
    Path file = folder.resolve(FILE);
    try {
      Results results = JSON.readValue(file.toFile(), Results.class);
      if (results.format() != FORMAT) {
        throw new FileException(
            file.toString(), "has format " + results.format() + ", expected " + FORMAT);
      }
      return results;
    } catch (JsonProcessingException e) {
      throw new FileException(file.toString(), "is not a results file: " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new FileException(file.toString(), "cannot be read: " + e.getMessage());
    }
  }

  /** Writes {@code results.json} and the CSV tables to this folder. */
  public void write(Path folder) {
    try {
      Files.createDirectories(folder);
      JSON.writerWithDefaultPrettyPrinter().writeValue(folder.resolve(FILE).toFile(), this);
      Files.writeString(folder.resolve("trials.csv"), trialTable());
      Files.writeString(folder.resolve("summary.csv"), summaryTable());
      Files.writeString(folder.resolve("series.csv"), seriesTable());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the cells in the experiment's order. */
  public Set<Cell> cells() {
    Set<Cell> cells = new LinkedHashSet<>();
    trials.forEach(trial -> cells.add(new Cell(trial.point(), trial.policy())));
    return cells;
  }

  /** Returns the trials of a cell by seed. */
  public Map<Long, ExperimentRun.Result> of(Cell cell) {
    Map<Long, ExperimentRun.Result> bySeed = new LinkedHashMap<>();
    for (ExperimentRun.Result trial : trials) {
      if (trial.point().equals(cell.point()) && trial.policy().equals(cell.policy())) {
        bySeed.put(trial.seed(), trial);
      }
    }
    return bySeed;
  }

  /** Returns the estimate of a metric over the seeds of a cell. */
  public Estimate estimate(Cell cell, ToDoubleFunction<ExperimentRun.Result> metric) {
    return Estimate.of(of(cell).values().stream().mapToDouble(metric).toArray());
  }

  /**
   * Returns the estimate of a metric's difference, left minus right, paired over the seeds that
   * both cells have.
   */
  public static Estimate difference(
      Map<Long, ExperimentRun.Result> left,
      Map<Long, ExperimentRun.Result> right,
      ToDoubleFunction<ExperimentRun.Result> metric) {
    return Estimate.of(
        left.keySet().stream()
            .filter(right::containsKey)
            .mapToDouble(
                seed ->
                    metric.applyAsDouble(left.get(seed)) - metric.applyAsDouble(right.get(seed)))
            .toArray());
  }

  private static String quoted(String text) {
    return '"' + text.replace("\"", "\"\"") + '"';
  }

  private String trialTable() {
    StringBuilder table = new StringBuilder("parameters,policy,seed");
    if (!trials.isEmpty()) {
      trials.get(0).figures().keySet().forEach(name -> table.append(',').append(quoted(name)));
    }
    table.append(",breaches,fallen,events,trace\n");
    for (ExperimentRun.Result trial : trials) {
      table
          .append(quoted(trial.point()))
          .append(',')
          .append(trial.policy())
          .append(',')
          .append(trial.seed());
      trial.figures().values().forEach(value -> table.append(',').append(value));
      table
          .append(',')
          .append(trial.totalViolations())
          .append(',')
          .append(trial.fallen())
          .append(',')
          .append(trial.events())
          .append(',')
          .append(trial.trace())
          .append('\n');
    }
    return table.toString();
  }

  private String summaryTable() {
    StringBuilder table =
        new StringBuilder("parameters,policy,figure,mean,half width of 95 %,seeds\n");
    for (Cell cell : cells()) {
      for (String name : of(cell).values().iterator().next().figures().keySet()) {
        Estimate estimate = estimate(cell, trial -> trial.figures().get(name));
        table
            .append(quoted(cell.point()))
            .append(',')
            .append(cell.policy())
            .append(',')
            .append(quoted(name))
            .append(',')
            .append(estimate.mean())
            .append(',')
            .append(estimate.halfWidth())
            .append(',')
            .append(estimate.count())
            .append('\n');
      }
    }
    return table.toString();
  }

  private String seriesTable() {
    StringBuilder table = new StringBuilder("parameters,policy,series,window,mean\n");
    for (Cell cell : cells()) {
      meanSeries(cell)
          .forEach(
              (name, values) -> {
                for (int i = 0; i < values.length; i++) {
                  if (!Double.isNaN(values[i])) {
                    table
                        .append(quoted(cell.point()))
                        .append(',')
                        .append(cell.policy())
                        .append(',')
                        .append(quoted(name))
                        .append(',')
                        .append(i)
                        .append(',')
                        .append(values[i])
                        .append('\n');
                  }
                }
              });
    }
    return table.toString();
  }

  /**
   * Returns the time series of a cell by name. The value of a window is the mean over the seeds
   * that have a value there, or NaN if none has.
   */
  public Map<String, double[]> meanSeries(Cell cell) {
    Map<String, double[]> means = new LinkedHashMap<>();
    List<ExperimentRun.Result> cellTrials = List.copyOf(of(cell).values());
    for (String name : cellTrials.get(0).series().keySet()) {
      int length =
          cellTrials.stream().mapToInt(trial -> trial.series().get(name).length).max().orElse(0);
      double[] mean = new double[length];
      for (int i = 0; i < length; i++) {
        double sum = 0;
        int count = 0;
        for (ExperimentRun.Result trial : cellTrials) {
          double[] values = trial.series().get(name);
          if (i < values.length && !Double.isNaN(values[i])) {
            sum += values[i];
            count++;
          }
        }
        mean[i] = count == 0 ? Double.NaN : sum / count;
      }
      means.put(name, mean);
    }
    return means;
  }
}
