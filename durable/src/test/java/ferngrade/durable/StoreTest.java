package ferngrade.durable;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.Dispatcher.Effect;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The store's two threads; this test's thread is the owner and runs what the disk's thread hands it. */
class StoreTest {
    private static final Ledger.Terms TERMS = new Ledger.Terms(100, 100, 1e9, 3, 10, 100);

    private final BlockingQueue<Runnable> handed = new LinkedBlockingQueue<>();
    private final FaultyDisk disk = new FaultyDisk(1, 0);

    private Store open(long logBytes, int mostWaiting) throws IOException {
        return Store.open(disk, TERMS, logBytes, mostWaiting, 0, handed::add);
    }

    private void turn() throws InterruptedException {
        Runnable task = handed.poll(20, TimeUnit.SECONDS);
        assertTrue(task != null, "the disk's thread said nothing");
        task.run();
    }

    private static Ledger.Change accept(Store store, String id) {
        return store.ledger().accept(id, Effect.UNSAFE, "", 0, new byte[50], 1);
    }

    @Test
    void changesLastInTheirOrderAndShareSyncs() throws Exception {
        List<String> stored = new ArrayList<>();
        try (Store store = open(1 << 20, 10_000)) {
            for (int i = 0; i < 2000; i++) {
                String id = "j" + i;
                store.commit(accept(store, id), () -> stored.add(id), refused -> stored.add("refused " + id));
            }
            while (stored.size() < 2000) {
                turn();
            }
            assertTrue(store.syncs() < 2000, "syncs: " + store.syncs());
        }
        for (int i = 0; i < 2000; i++) {
            assertEquals("j" + i, stored.get(i));
        }
        try (Store again = open(1 << 20, 10)) {
            assertEquals(2000, again.ledger().jobs().size());
        }
    }

    @Test
    void aStoreThatIsBehindIsCrowdedAndOneWhoseDiskFailsRefusesAndKeepsWhatWasTold() throws Exception {
        List<String> told = new ArrayList<>();
        Store store = open(1 << 20, 2);
        store.commit(accept(store, "a"), () -> told.add("a"), refused -> told.add("a refused"));
        assertFalse(store.crowded());
        store.commit(accept(store, "b"), () -> told.add("b"), refused -> told.add("b refused"));
        assertTrue(store.crowded(), "two are on their way");
        while (told.size() < 2) {
            turn();
        }
        assertFalse(store.crowded());
        disk.fill(true);
        store.commit(accept(store, "c"), () -> told.add("c"), refused -> told.add("c refused"));
        turn();
        assertEquals(List.of("a", "b", "c refused"), told);
        assertTrue(store.failed() && store.crowded());
        disk.fill(false);
        store.close();
        try (Store again = open(1 << 20, 2)) {
            assertEquals(2, again.ledger().jobs().size());
            assertNull(again.ledger().job("c"));
        }
    }

    @Test
    void closedLogsBecomeASnapshotBesideTheCommits() throws Exception {
        int[] stored = {0};
        try (Store store = open(2000, 100_000)) {
            for (int i = 0; i < 500; i++) {
                store.commit(accept(store, "j" + i), () -> stored[0]++, refused -> { });
                turn();
            }
            assertEquals(500, stored[0]);
            assertNull(store.compactionFailure());
        }
        assertTrue(disk.list().stream().anyMatch(name -> name.startsWith("snap-")), disk.list().toString());
        assertTrue(disk.list().size() < 20, disk.list().toString());
        try (Store again = open(2000, 10)) {
            assertEquals(500, again.ledger().jobs().size());
        }
    }
}
