package ferngrade.net;

import ferngrade.node.Clock;
import ferngrade.node.Timers;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The connections to workers: how many there are, and which stand idle. One that has stood idle for a good
 * part of the limit is ended: a worker closes it at the limit, and a job written into that close would be
 * reset, with nobody knowing whether it ran.
 */
final class ConnectionPool {
    /** Share of the workers' idle limit after which a connection is ended. */
    private static final double RETIRE = 0.5;
    private static final double SWEEP = 1000;
    /** Idle connections kept for one worker. */
    private static final int MOST_IDLE = 16;

    private final Clock clock;
    private final Timers timers;
    private final double mostIdleMs;
    private final int most;
    private final Map<InetSocketAddress, Deque<WorkerConnection>> idle = new HashMap<>();
    private int open;

    ConnectionPool(Clock clock, Timers timers, double idleLimit, int most) {
        this.clock = clock;
        this.timers = timers;
        this.mostIdleMs = RETIRE * idleLimit;
        this.most = most;
        timers.after(SWEEP, this::sweep);
    }

    /** The idle connection used last, or null if there is none fit for use. */
    WorkerConnection take(InetSocketAddress worker) {
        Deque<WorkerConnection> pooled = idle.get(worker);
        while (pooled != null && !pooled.isEmpty()) {
            WorkerConnection connection = pooled.pop();
            if (connection.isActive() && clock.now() - connection.idleSince < mostIdleMs) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    /** The connections that stand idle. */
    int idle() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }

    /** Books a place for a new connection; false if there is none. */
    boolean reserve() {
        if (open >= most && !dropOldest()) {
            return false;
        }
        open++;
        return true;
    }

    private boolean dropOldest() {
        for (Deque<WorkerConnection> pooled : idle.values()) {
            if (!pooled.isEmpty()) {
                pooled.pollLast().close();
                return open < most;
            }
        }
        return false;
    }

    /** The connection that was booked did not come up. */
    void unreserve() {
        open--;
    }

    void release(WorkerConnection connection) {
        Deque<WorkerConnection> pooled = idle.computeIfAbsent(connection.worker(), worker -> new ArrayDeque<>());
        if (!connection.isActive() || pooled.size() >= MOST_IDLE) {
            connection.close();
            return;
        }
        connection.idleSince = clock.now();
        pooled.push(connection);
    }

    void ended(WorkerConnection connection) {
        open--;
        Deque<WorkerConnection> pooled = idle.get(connection.worker());
        if (pooled != null) {
            pooled.remove(connection);
        }
    }

    private void sweep() {
        double now = clock.now();
        for (Deque<WorkerConnection> pooled : idle.values()) {
            for (WorkerConnection connection : new ArrayList<>(pooled)) {
                if (now - connection.idleSince >= mostIdleMs) {
                    connection.close();
                }
            }
        }
        idle.values().removeIf(Deque::isEmpty);
        timers.after(SWEEP, this::sweep);
    }
}
