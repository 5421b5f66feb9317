package ferngrade.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Time that passes only by what happens in it: a queue of events, the earliest first. Events at the same instant run
 * in the order in which they were put off, so that a run depends on nothing but its inputs.
 */
public final class VirtualTime implements Scheduler {
    private static final Comparator<Event> ORDER =
            Comparator.<Event>comparingDouble(event -> event.at).thenComparingLong(event -> event.order);

    private final PriorityQueue<Event> queue = new PriorityQueue<>(1024, ORDER);
    private double now;
    private long order;
    private long ran;

    private static final class Event implements Handle {
        final double at;
        final long order;
        Runnable task;

        Event(double at, long order, Runnable task) {
            this.at = at;
            this.order = order;
            this.task = task;
        }

        @Override
        public void cancel() {
            // It stays in the queue until its time; removing it from the middle would cost more than the place.
            task = null;
        }
    }

    /** Time that begins at {@code start} ms. */
    public VirtualTime(double start) {
        this.now = start;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public Handle after(double millis, Runnable task) {
        if (Double.isNaN(millis)) {
            throw new IllegalArgumentException("a delay that is not a number");
        }
        Event event = new Event(now + Math.max(0, millis), order++, task);
        queue.add(event);
        return event;
    }

    /** Runs everything up to and including {@code until}, which is the time when this returns. */
    public void run(double until) {
        while (!queue.isEmpty() && queue.peek().at <= until) {
            Event event = queue.poll();
            now = event.at;
            if (event.task != null) {
                Runnable task = event.task;
                event.task = null;
                ran++;
                task.run();
            }
        }
        now = Math.max(now, until);
    }

    /** The events that have run so far. */
    public long ran() {
        return ran;
    }
}
