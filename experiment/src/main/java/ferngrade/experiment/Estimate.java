package ferngrade.experiment;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean over seeds with the half width of its 95 % confidence interval (Student's t); the half
 * width is infinite where one seed alone gives none.
 */
public record Estimate(double mean, double halfWidth, long count) {
  private static final double TAIL = 0.975;

  /** The estimate that these values give; values that are not numbers are left out. */
  public static Estimate of(double... values) {
    SummaryStatistics summary = new SummaryStatistics();
    for (double value : values) {
      if (!Double.isNaN(value)) {
        summary.addValue(value);
      }
    }
    long count = summary.getN();
    double half =
        count < 2
            ? Double.POSITIVE_INFINITY
            : new TDistribution(count - 1).inverseCumulativeProbability(TAIL)
                * summary.getStandardDeviation()
                / Math.sqrt((double) count);
    return new Estimate(summary.getMean(), half, count);
  }

  /** True if the interval leaves 0 out. */
  public boolean differsFromZero() {
    return Math.abs(mean) > halfWidth;
  }

  @Override
  public String toString() {
    return Double.isInfinite(halfWidth)
        ? String.format("%.3f", mean)
        : String.format("%.3f ± %.3f", mean, halfWidth);
  }
}
