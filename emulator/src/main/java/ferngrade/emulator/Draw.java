package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Draws from the distributions that the model uses. */
final class Draw {
  private Draw() {}

  /** A time with this mean and no memory. */
  static double exponential(UniformRandomProvider chance, double mean) {
    return mean * ZigguratSampler.Exponential.of(chance).sample();
  }

  /** A number between the two. */
  static double between(UniformRandomProvider chance, double least, double most) {
    return least + chance.nextDouble() * (most - least);
  }

  /** Factors with the mean 1, lognormal: {@code sigma} is the deviation of their logarithm. */
  record Spread(double sigma) {
    /** Factors with this coefficient of variation. */
    static Spread of(double variation) {
      return new Spread(Math.sqrt(Math.log1p(variation * variation)));
    }

    double draw(UniformRandomProvider chance) {
      return sigma == 0
          ? 1
          : Math.exp(
              sigma * ZigguratSampler.NormalizedGaussian.of(chance).sample() - sigma * sigma / 2);
    }
  }
}
