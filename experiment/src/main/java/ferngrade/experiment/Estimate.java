package ferngrade.experiment;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * A mean over seeds and the half width of its 95 % confidence interval (Student's t). The half
 * width is infinite for fewer than two values.
 */
public record Estimate(double mean, double halfWidth, long count) {
  private static final double QUANTILE = 0.975;

  /** Returns the estimate for these values, ignoring NaN. */
  public static Estimate of(double... values) {
    SummaryStatistics summary = new SummaryStatistics();
    for (double value : values) {
      if (!Double.isNaN(value)) {
        summary.addValue(value);
      }
    }
    long count = summary.getN();
    double halfWidth =
        count < 2
            ? Double.POSITIVE_INFINITY
            : new TDistribution(count - 1).inverseCumulativeProbability(QUANTILE)
                * summary.getStandardDeviation()
                / Math.sqrt((double) count);
    return new Estimate(summary.getMean(), halfWidth, count);
  }

  /** Returns true if the confidence interval does not contain 0. */
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
