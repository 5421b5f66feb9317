package ferngrade.emulator;

import org.apache.commons.rng.RestorableUniformRandomProvider;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Streams of chance that one seed opens. Each party draws from a stream of its own, named after it,
 * so that a change to one party leaves the luck of all others as it was: two policies meet the same
 * arrivals and the same faults.
 */
public final class Streams {
  private final long seed;

  /** All streams of this seed. */
  public Streams(long seed) {
    this.seed = seed;
  }

  /** The stream of this name, from its beginning. */
  public UniformRandomProvider stream(String name) {
    RestorableUniformRandomProvider stream = RandomSource.XO_RO_SHI_RO_128_PP.create(seed(name));
    return stream;
  }

  /** A seed for a party that makes its own stream. */
  public long seed(String name) {
    long mixed = seed;
    for (int i = 0; i < name.length(); i++) {
      mixed = mix(mixed ^ name.charAt(i));
    }
    return mix(mixed);
  }

  /** The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). */
  private static long mix(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ z >>> 30) * 0xbf58476d1ce4e5b9L;
    z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
    return z ^ z >>> 31;
  }
}
