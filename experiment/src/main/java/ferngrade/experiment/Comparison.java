package ferngrade.experiment;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Compares two results cell by cell. Differences are paired by seed and have a 95 % confidence
 * interval.
 */
public record Comparison(Results before, Results after) {
  private static final List<String> METRICS =
      List.of(
          "goodput",
          "worst class",
          "worst tenant",
          "p50 ms",
          "p99 ms",
          "refused",
          "failed",
          "attempts a try");

  /**
   * One metric of a cell that both results have. {@code difference} is the after value minus the
   * before value.
   */
  public record Row(
      Results.Cell cell, String metric, Estimate before, Estimate after, Estimate difference) {}

  /** Returns all rows; empty if the two results have no cell and seed in common. */
  public List<Row> rows() {
    Set<Results.Cell> sharedCells = new LinkedHashSet<>(before.cells());
    sharedCells.retainAll(after.cells());
    List<Row> rows = new ArrayList<>();
    for (Results.Cell cell : sharedCells) {
      for (String metric : METRICS) {
        Estimate difference =
            Results.difference(
                after.of(cell), before.of(cell), trial -> trial.figures().get(metric));
        if (difference.count() > 0) {
          rows.add(
              new Row(
                  cell,
                  metric,
                  before.estimate(cell, trial -> trial.figures().get(metric)),
                  after.estimate(cell, trial -> trial.figures().get(metric)),
                  difference));
        }
      }
    }
    return rows;
  }
}
