package ferngrade.emulator;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/** Draws from the distributions that the model uses. */
final class Draw {
    private Draw() { }

    /** A time with this mean and no memory. */
    static double exponential(UniformRandomProvider chance, double mean) {
        return mean * ZigguratSampler.Exponential.of(chance).sample();
    }

    /** A factor with the mean 1 and this coefficient of variation, lognormal. */
    static double around(UniformRandomProvider chance, double spread) {
        if (spread <= 0) {
            return 1;
        }
        double variance = Math.log1p(spread * spread);
        double normal = ZigguratSampler.NormalizedGaussian.of(chance).sample();
        return Math.exp(Math.sqrt(variance) * normal - variance / 2);
    }

    /** A number between the two. */
    static double between(UniformRandomProvider chance, double least, double most) {
        return least + chance.nextDouble() * (most - least);
    }
}
