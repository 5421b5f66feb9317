package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Draws random numbers from the distributions that the emulator uses. */
final class Draw {
  private Draw() {}

  /** Draws from the exponential distribution with this mean. */
  static double exponential(UniformRandomProvider random, double mean) {
    return mean * ZigguratSampler.Exponential.of(random).sample();
  }

  /** Draws uniformly from the range from {@code min} to {@code max}. */
  static double between(UniformRandomProvider random, double min, double max) {
    return min + random.nextDouble() * (max - min);
  }

  /**
   * Draws lognormal factors with the mean 1; {@code sigma} is the standard deviation of their
   * logarithm.
   */
  record LognormalFactor(double sigma) {
    /** Returns a distribution with this coefficient of variation. */
    static LognormalFactor of(double variation) {
      return new LognormalFactor(Math.sqrt(Math.log1p(variation * variation)));
    }

    double draw(UniformRandomProvider random) {
      return sigma == 0
          ? 1
          : Math.exp(
              sigma * ZigguratSampler.NormalizedGaussian.of(random).sample() - sigma * sigma / 2);
    }
  }
}
