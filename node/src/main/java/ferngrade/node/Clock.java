package ferngrade.node;

/** The one source of time in a node: milliseconds since 1970, with fractions, never going back. */
@FunctionalInterface
public interface Clock {
    /** The present time. */
    double now();

    /** The machine's clock, read once and carried on by its monotonic counter, so that it never goes back. */
    static Clock system() {
        double start = System.currentTimeMillis();
        long origin = System.nanoTime();
        return () -> start + (System.nanoTime() - origin) / 1e6;
    }
}
