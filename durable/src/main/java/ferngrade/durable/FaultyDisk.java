package ferngrade.durable;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory that loses power after so many writes, syncs and changes of names. What was not synced may then be
 * there, be gone, be torn, or be there with what was written before it gone; names that were not synced may be as they
 * were. With lies, a sync now and then returns with nothing synced.
 */
public final class FaultyDisk implements Disk {
    /** The power has gone. */
    public static final class PowerLost extends IOException {
        private static final long serialVersionUID = 1L;
    }

    private static final class Content {
        byte[] synced = new byte[0];
        final List<byte[]> unsynced = new ArrayList<>();

        byte[] now() {
            int length = synced.length + unsynced.stream().mapToInt(each -> each.length).sum();
            byte[] all = Arrays.copyOf(synced, length);
            int at = synced.length;
            for (byte[] each : unsynced) {
                System.arraycopy(each, 0, all, at, each.length);
                at += each.length;
            }
            return all;
        }
    }

    private final SplittableRandom chance;
    private final double lies;
    private final Map<String, Content> names = new TreeMap<>();
    private Map<String, Content> syncedNames = new TreeMap<>();
    private long left;
    private long steps;
    private boolean full;
    private int lied;

    /** An empty folder; this share of its syncs does nothing. */
    public FaultyDisk(long seed, double lies) {
        this.chance = new SplittableRandom(seed);
        this.lies = lies;
        this.left = Long.MAX_VALUE;
    }

    /** Loses power in the step after so many. */
    public void losePowerAfter(long more) {
        left = more;
    }

    /** From here on every write says that the disk is full, with a part of it written. */
    public void fill(boolean nowFull) {
        full = nowFull;
    }

    /** The writes, syncs and changes of names so far. */
    public long steps() {
        return steps;
    }

    /** The syncs that did nothing. */
    public int lied() {
        return lied;
    }

    private void step() throws PowerLost {
        steps++;
        if (left-- <= 0) {
            throw new PowerLost();
        }
    }

    /** Power is back: what a machine finds then. */
    public void powerUp() {
        left = Long.MAX_VALUE;
        Map<String, Content> found = new TreeMap<>(syncedNames);
        // Changes of names since the last sync of them: each has come to last or not.
        for (String name : names.keySet()) {
            if (!syncedNames.containsKey(name) && chance.nextBoolean()) {
                found.put(name, names.get(name));
            }
        }
        found.keySet().removeIf(name -> !names.containsKey(name) && chance.nextBoolean());
        names.clear();
        names.putAll(found);
        syncedNames = new TreeMap<>(found);
        names.values().forEach(this::settle);
    }

    private void settle(Content content) {
        byte[] all = content.now();
        int kind = chance.nextInt(4);
        int unsynced = all.length - content.synced.length;
        if (unsynced > 0) {
            switch (kind) {
                case 0 -> all = content.synced;
                case 1 -> all = Arrays.copyOf(all, content.synced.length + chance.nextInt(unsynced + 1));
                case 2 -> {
                    // The length lasts, and a page of it does not: zeros, with what was written later behind them.
                    int from = content.synced.length + chance.nextInt(unsynced);
                    Arrays.fill(all, from, from + chance.nextInt(all.length - from) + 1, (byte) 0);
                }
                default -> { }
            }
        }
        content.synced = all;
        content.unsynced.clear();
    }

    /** Turns one bit over in what was synced; false if there is nothing. */
    public boolean flip(String name, int offset) {
        Content content = names.get(name);
        if (offset >= content.synced.length) {
            return false;
        }
        content.synced = content.synced.clone();
        content.synced[offset] ^= (byte) (1 << chance.nextInt(8));
        return true;
    }

    @Override
    public synchronized List<String> list() {
        return List.copyOf(names.keySet());
    }

    @Override
    public synchronized byte[] read(String name) {
        return names.get(name).now();
    }

    @Override
    public synchronized Appender create(String name) throws IOException {
        step();
        Content content = new Content();
        if (names.putIfAbsent(name, content) != null) {
            throw new IOException("exists: " + name);
        }
        return new Appender() {
            @Override
            public void append(byte[] bytes, int length) throws IOException {
                if (full) {
                    content.unsynced.add(Arrays.copyOf(bytes, length / 2));
                    throw new IOException("No space left on device");
                }
                // Power may go in the middle of a write, with a part of it done.
                content.unsynced.add(Arrays.copyOf(bytes, length));
                step();
            }

            @Override
            public void sync() throws IOException {
                step();
                if (lies > 0 && chance.nextDouble() < lies) {
                    lied++;
                    return;
                }
                content.synced = content.now();
                content.unsynced.clear();
            }

            @Override
            public void close() { }
        };
    }

    @Override
    public synchronized void truncate(String name, long length) throws IOException {
        step();
        Content content = names.get(name);
        content.synced = Arrays.copyOf(content.now(), (int) length);
        content.unsynced.clear();
    }

    @Override
    public synchronized void rename(String from, String to) throws IOException {
        step();
        names.put(to, names.remove(from));
    }

    @Override
    public synchronized void delete(String name) throws IOException {
        step();
        names.remove(name);
    }

    @Override
    public synchronized void syncNames() throws IOException {
        step();
        syncedNames = new TreeMap<>(names);
    }
}
