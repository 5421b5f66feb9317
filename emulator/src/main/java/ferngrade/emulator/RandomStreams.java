package ferngrade.emulator;

import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Derives independent random streams from one seed. Each component draws from its own named stream,
 * so that a change to one component does not alter the random numbers of the others: policies can
 * therefore be compared with the same arrivals and the same faults.
 */
public final class RandomStreams {
  private final long seed;

  /** Creates the streams of a seed. */
  public RandomStreams(long seed) {
    this.seed = seed;
  }

  /** Returns a new generator at the beginning of the named stream. */
  public UniformRandomProvider stream(String name) {
    RestorableUniformRandomProvider stream = RandomSource.XO_RO_SHI_RO_128_PP.create(seed(name));
    return stream;
  }

  /** Returns the seed of the named stream, for a component that creates its own generator. */
  public long seed(String name) {
    long mixed = seed;
    for (int i = 0; i < name.length(); i++) {
      mixed = mix(mixed ^ name.charAt(i));
    }
    return mix(mixed);
  }

  /** Applies the finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
  private static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
