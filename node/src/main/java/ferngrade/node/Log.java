package ferngrade.node;

import java.util.function.Consumer;

/** The operators' log, limited in rate so that no flood of bad input can fill it. */
public final class Log {
    private static final int LINES_A_SECOND = 20;

    private final Clock clock;
    private final Consumer<String> out;
    private double second = Double.NEGATIVE_INFINITY;
    private int lines;
    private int dropped;

    /** A log that hands its lines to {@code out}. */
    public Log(Clock clock, Consumer<String> out) {
        this.clock = clock;
        this.out = out;
    }

    /** Writes one line, unless this second has had its share of them. */
    public void line(String text) {
        double now = clock.now();
        if (now - second >= 1000) {
            if (dropped > 0) {
                out.accept(dropped + " lines left out");
            }
            second = now;
            lines = 0;
            dropped = 0;
        }
        if (lines++ < LINES_A_SECOND) {
            out.accept(text);
        } else {
            dropped++;
        }
    }
}
