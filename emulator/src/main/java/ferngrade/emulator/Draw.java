package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Draws random numbers from the distributions that the emulator uses. The library's samplers call
 * {@link Math#exp} and similar functions only to accept, reject or round a draw; none of their
 * results is part of a drawn number.
 */
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
      return new LognormalFactor(Math.sqrt(StrictMath.log1p(variation * variation)));
    }

    double draw(UniformRandomProvider random) {
      return sigma == 0
          ? 1
          : StrictMath.exp(
              sigma * ZigguratSampler.NormalizedGaussian.of(random).sample() - sigma * sigma / 2);
    }
  }
}
