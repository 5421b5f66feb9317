package ferngrade.durable;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

/**
 * A ledger and its log, with a thread for the disk: the owner's thread makes changes, and hears when they last. Whatever
 * waits when a sync returns goes into the next batch, so many changes share a sync under load and a single one waits for
 * its own alone (group commit).
 *
 * <p>All methods belong to the owner's thread, the one on which {@code owner} runs its tasks.
 */
public final class Store implements AutoCloseable {
    /** Entries in a batch at most, so that its buffer stays bounded. */
    private static final int MOST_BATCH = 8192;

    private final Disk disk;
    private final Ledger ledger;
    private final Journal journal;
    private final Executor owner;
    private final int mostWaiting;
    private final BlockingQueue<Waiting> queue = new LinkedBlockingQueue<>();
    private final Thread diskThread = new Thread(this::write, "store");
    private final Journal.Recovery recovery;
    private volatile Thread compactor;
    private volatile long syncs;
    private volatile IOException compactionFailure;
    /** Belongs to the disk's thread. */
    private long compactedBefore = 1;
    private int waiting;
    private boolean failed;

    private record Waiting(List<Entry> entries, Runnable stored, Consumer<IOException> refused) { }

    private Store(Disk disk, Ledger ledger, Journal journal, Journal.Recovery recovery, Executor owner,
            int mostWaiting) {
        this.disk = disk;
        this.ledger = ledger;
        this.journal = journal;
        this.recovery = recovery;
        this.owner = owner;
        this.mostWaiting = mostWaiting;
    }

    /**
     * Opens a store and recovers what it holds; {@code monotonic} is the present time of a clock that never jumps. A new
     * log is begun after {@code logBytes}; beyond {@code mostWaiting} changes on their way to the disk it is crowded.
     */
    public static Store open(Disk disk, Ledger.Terms terms, long logBytes, int mostWaiting, double monotonic,
            Executor owner) throws IOException {
        Ledger ledger = new Ledger(terms);
        Journal.Recovery[] recovery = new Journal.Recovery[1];
        Journal journal = Journal.open(disk, logBytes, ledger::replay, found -> recovery[0] = found);
        ledger.recovered(monotonic);
        Store store = new Store(disk, ledger, journal, recovery[0], owner, mostWaiting);
        store.diskThread.setDaemon(true);
        store.diskThread.start();
        return store;
    }

    /** The states, to ask and to change; each change goes to {@link #commit}. */
    public Ledger ledger() {
        return ledger;
    }

    /** What the recovery at the opening found. */
    public Journal.Recovery recovery() {
        return recovery;
    }

    /** True if nothing new should be taken: the disk is behind, or has failed. What was taken may still be ended. */
    public boolean crowded() {
        return failed || waiting >= mostWaiting;
    }

    /** True once the disk has failed: nothing is stored any more before the store is opened anew. */
    public boolean failed() {
        return failed;
    }

    /** The syncs so far. */
    public long syncs() {
        return syncs;
    }

    /**
     * Stores what a change brought. {@code stored} is called once it lasts, {@code refused} if the disk has failed and
     * it may be gone; a change without entries lasts at once.
     */
    public void commit(Ledger.Change change, Runnable stored, Consumer<IOException> refused) {
        if (change.entries().isEmpty() && waiting == 0) {
            stored.run();
            return;
        }
        waiting++;
        queue.add(new Waiting(change.entries(), stored, refused));
    }

    private void write() {
        List<Waiting> batch = new ArrayList<>();
        List<Entry> entries = new ArrayList<>();
        IOException failure = null;
        try {
            while (true) {
                batch.clear();
                entries.clear();
                batch.add(queue.take());
                queue.drainTo(batch, MOST_BATCH - 1);
                boolean last = batch.removeIf(each -> each.entries() == null);
                batch.forEach(each -> entries.addAll(each.entries()));
                if (failure == null && !entries.isEmpty()) {
                    failure = commit(entries);
                }
                tell(List.copyOf(batch), failure);
                if (last) {
                    break;
                }
                compact();
            }
        } catch (InterruptedException ended) {
            Thread.currentThread().interrupt();
        }
    }

    private IOException commit(List<Entry> entries) {
        try {
            journal.commit(entries);
            syncs = syncs + 1;
            return null;
        } catch (IOException | RuntimeException broken) {
            return broken instanceof IOException io ? io : new IOException(broken);
        }
    }

    private void tell(List<Waiting> batch, IOException failure) {
        owner.execute(() -> {
            waiting -= batch.size();
            failed |= failure != null;
            for (Waiting each : batch) {
                if (failure == null) {
                    each.stored().run();
                } else {
                    each.refused().accept(failure);
                }
            }
        });
    }

    /** Puts a snapshot in place of closed logs, beside the commits. */
    private void compact() {
        long before = journal.logNumber();
        boolean busy = compactor != null && compactor.isAlive();
        if (busy || before <= compactedBefore + 1) {
            return;
        }
        compactedBefore = before;
        compactor = new Thread(() -> {
            try {
                Journal.compact(disk, before);
            } catch (IOException failedToCompact) {
                // The logs stay, and are read at the next start; what is wrong with them is said there.
                compactionFailure = failedToCompact;
            }
        }, "store-compaction");
        compactor.setDaemon(true);
        compactor.start();
    }

    /** Why the last compaction failed; null if it did not. */
    public IOException compactionFailure() {
        return compactionFailure;
    }

    /** Stores what is on its way and ends the threads. */
    @Override
    public void close() throws IOException {
        queue.add(new Waiting(null, null, null));
        try {
            diskThread.join();
            Thread running = compactor;
            if (running != null) {
                running.join();
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        journal.close();
    }
}
