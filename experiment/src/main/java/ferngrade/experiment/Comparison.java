package ferngrade.experiment;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Two results held against each other: cell by cell and seed by seed, with the interval of the
 * difference.
 */
public record Comparison(Results before, Results after) {
  private static final List<String> FIGURES =
      List.of(
          "goodput",
          "worst class",
          "worst tenant",
          "p50 ms",
          "p99 ms",
          "refused",
          "failed",
          "attempts a try");

  /** One figure of one cell that both have; {@code difference} is after less before. */
  public record Row(
      Results.Cell cell, String figure, Estimate before, Estimate after, Estimate difference) {}

  /** All rows; empty if the two share no cell and seed. */
  public List<Row> rows() {
    Set<Results.Cell> shared = new LinkedHashSet<>(before.cells());
    shared.retainAll(after.cells());
    List<Row> rows = new ArrayList<>();
    for (Results.Cell cell : shared) {
      for (String figure : FIGURES) {
        Estimate difference =
            Results.difference(after.of(cell), before.of(cell), each -> each.figures().get(figure));
        if (difference.count() > 0) {
          rows.add(
              new Row(
                  cell,
                  figure,
                  before.estimate(cell, each -> each.figures().get(figure)),
                  after.estimate(cell, each -> each.figures().get(figure)),
                  difference));
        }
      }
    }
    return rows;
  }
}
