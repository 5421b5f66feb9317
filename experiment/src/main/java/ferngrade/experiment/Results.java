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

/** The results of an experiment, as they are kept in {@code results.json}. */
public record Results(
    int format,
    String name,
    String title,
    String policyFirst,
    int asked,
    boolean complete,
    String experiment,
    List<ExperimentRun.Result> trials) {
  /** The version of the file's form. */
  public static final int FORMAT = 1;

  private static final String FILE = "results.json";
  private static final ObjectMapper JSON =
      JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  /** One cell of a result table: a setting of the parameters under one policy. */
  public record Cell(String point, String policy) {}

  /** The results with the trials in an order that does not depend on which ended first. */
  public static Results of(Experiment experiment, List<ExperimentRun.Result> trials) {
    List<String> points = experiment.points().stream().map(Experiment.Point::label).toList();
    List<ExperimentRun.Result> sorted = new ArrayList<>(trials);
    sorted.sort(
        Comparator.<ExperimentRun.Result>comparingInt(each -> points.indexOf(each.point()))
            .thenComparingInt(each -> experiment.policies().indexOf(each.policy()))
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

  /** Reads what {@link #write} has left in a folder. */
  public static Results read(Path folder) throws FileException {
    Path file = folder.resolve(FILE);
    try {
      Results results = JSON.readValue(file.toFile(), Results.class);
      if (results.format() != FORMAT) {
        throw new FileException(
            file.toString(), "has the form " + results.format() + ", not " + FORMAT);
      }
      return results;
    } catch (JsonProcessingException malformed) {
      throw new FileException(
          file.toString(), "is not a result: " + malformed.getOriginalMessage());
    } catch (IOException unreadable) {
      throw new FileException(file.toString(), "cannot be read: " + unreadable.getMessage());
    }
  }

  /** Writes {@code results.json} and the tables. */
  public void write(Path folder) {
    try {
      Files.createDirectories(folder);
      JSON.writerWithDefaultPrettyPrinter().writeValue(folder.resolve(FILE).toFile(), this);
      Files.writeString(folder.resolve("trials.csv"), trialTable());
      Files.writeString(folder.resolve("summary.csv"), summaryTable());
      Files.writeString(folder.resolve("series.csv"), seriesTable());
    } catch (IOException failed) {
      throw new UncheckedIOException(failed);
    }
  }

  /** The cells, in the experiment's order. */
  public Set<Cell> cells() {
    Set<Cell> cells = new LinkedHashSet<>();
    trials.forEach(each -> cells.add(new Cell(each.point(), each.policy())));
    return cells;
  }

  /** The trials of a cell by seed. */
  public Map<Long, ExperimentRun.Result> of(Cell cell) {
    Map<Long, ExperimentRun.Result> bySeed = new LinkedHashMap<>();
    for (ExperimentRun.Result each : trials) {
      if (each.point().equals(cell.point()) && each.policy().equals(cell.policy())) {
        bySeed.put(each.seed(), each);
      }
    }
    return bySeed;
  }

  /** A figure of a cell over its seeds. */
  public Estimate estimate(Cell cell, ToDoubleFunction<ExperimentRun.Result> figure) {
    return Estimate.of(of(cell).values().stream().mapToDouble(figure).toArray());
  }

  /** The difference of a figure between two cells, pair by pair over the seeds that both have. */
  public static Estimate difference(
      Map<Long, ExperimentRun.Result> one,
      Map<Long, ExperimentRun.Result> other,
      ToDoubleFunction<ExperimentRun.Result> figure) {
    return Estimate.of(
        one.keySet().stream()
            .filter(other::containsKey)
            .mapToDouble(
                seed -> figure.applyAsDouble(one.get(seed)) - figure.applyAsDouble(other.get(seed)))
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
    for (ExperimentRun.Result each : trials) {
      table
          .append(quoted(each.point()))
          .append(',')
          .append(each.policy())
          .append(',')
          .append(each.seed());
      each.figures().values().forEach(value -> table.append(',').append(value));
      table
          .append(',')
          .append(each.allBreaches())
          .append(',')
          .append(each.fallen())
          .append(',')
          .append(each.events())
          .append(',')
          .append(each.trace())
          .append('\n');
    }
    return table.toString();
  }

  private String summaryTable() {
    StringBuilder table =
        new StringBuilder("parameters,policy,figure,mean,half width of 95 %,seeds\n");
    for (Cell cell : cells()) {
      for (String name : of(cell).values().iterator().next().figures().keySet()) {
        Estimate estimate = estimate(cell, each -> each.figures().get(name));
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

  /** The series of a cell, each window the mean over the seeds that have a value there. */
  public Map<String, double[]> meanSeries(Cell cell) {
    Map<String, double[]> means = new LinkedHashMap<>();
    List<ExperimentRun.Result> all = List.copyOf(of(cell).values());
    for (String name : all.get(0).series().keySet()) {
      int length = all.stream().mapToInt(each -> each.series().get(name).length).max().orElse(0);
      double[] mean = new double[length];
      for (int i = 0; i < length; i++) {
        double sum = 0;
        int count = 0;
        for (ExperimentRun.Result each : all) {
          double[] values = each.series().get(name);
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
