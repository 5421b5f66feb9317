package ferngrade.durable;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * The log of a store: entries go in by batches, one sync for each, and come back in their order. Logs that are closed
 * are replaced by a snapshot, which is made from them alone: neither a commit nor the owner of the live state waits.
 *
 * <p>A file begins with a magic word, the version and its number. A batch is its length, a CRC-32C, its number and its
 * entries; numbers grow by one over all files. A batch is begun only when the one before it is synced, so a batch that
 * cannot be read is a torn tail if nothing readable follows it, and is cut; if something does, what was synced has been
 * damaged, and that is an error with file and offset.
 *
 * <p>One thread at a time commits; {@link #compact} may run on another. After a failed write or sync it refuses everything: what a disk holds then, nobody
 * knows before a recovery.
 */
public final class Journal implements AutoCloseable {
    static final int HEADER = 16;
    private static final long MAGIC = 0x464e47_4c4f47_0001L;
    private static final int PIECE = 256 << 10;
    private static final String LOG = "log-";
    private static final String SNAPSHOT = "snap-";
    private static final String UNFINISHED = ".tmp";

    /** Terms matter to changes alone; reading makes none. */
    static final Ledger.Terms READING = new Ledger.Terms(1, 0, 0, 1, 0, 0);

    private final Disk disk;
    private final long logBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 16);
    private Disk.Appender log;
    private volatile long logNumber;
    private long written;
    private long batch;
    private volatile boolean failed;
    private long batches;
    private long entries;
    private long bytes;

    /** What a recovery found. {@code cut} is the length of the torn tail. */
    public record Recovery(long entries, long batches, long bytes, long cut, String cutFile) { }

    private Journal(Disk disk, long logBytes, long logNumber, long batch) {
        this.disk = disk;
        this.logBytes = logBytes;
        this.logNumber = logNumber;
        this.batch = batch;
    }

    // ---- Recovery ----

    /**
     * Opens the store in a folder: replays everything into {@code replay}, cuts a torn tail, and begins a new log. A
     * new log is begun after {@code logBytes}. A {@link DamagedException} says where what was synced is not as it was.
     */
    public static Journal open(Disk disk, long logBytes, Consumer<Entry> replay, Consumer<Recovery> found)
            throws IOException {
        Reader reader = new Reader(disk, replay);
        reader.readAll(Long.MAX_VALUE);
        if (reader.cut > 0 || reader.emptyLast) {
            if (reader.emptyLast) {
                disk.delete(reader.cutFile);
                disk.syncNames();
            } else {
                disk.truncate(reader.cutFile, reader.cutAt);
            }
        }
        for (String name : reader.leftOver) {
            disk.delete(name);
        }
        found.accept(new Recovery(reader.entries, reader.batches, reader.bytes, reader.cut, reader.cutFile));
        Journal journal = new Journal(disk, logBytes, reader.lastLog, reader.batch);
        journal.nextLog();
        return journal;
    }

    /** Reads a store without changing it, also one that somebody else has open. */
    public static Recovery inspect(Disk disk, Consumer<Entry> replay) throws IOException {
        Reader reader = new Reader(disk, replay);
        reader.readAll(Long.MAX_VALUE);
        return new Recovery(reader.entries, reader.batches, reader.bytes, reader.cut, reader.cutFile);
    }

    private static final class Reader {
        private final Disk disk;
        private final Consumer<Entry> replay;
        private final List<String> leftOver = new ArrayList<>();
        private long lastLog;
        private long batch;
        private long entries;
        private long batches;
        private long bytes;
        private long cut;
        private long cutAt;
        private String cutFile = "";
        private boolean emptyLast;

        Reader(Disk disk, Consumer<Entry> replay) {
            this.disk = disk;
            this.replay = replay;
        }

        /** Reads the snapshot and the logs after it whose numbers are below this; the last of all may end torn. */
        void readAll(long before) throws IOException {
            TreeMap<Long, String> logs = new TreeMap<>();
            TreeMap<Long, String> snapshots = new TreeMap<>();
            for (String name : disk.list()) {
                if (name.endsWith(UNFINISHED)) {
                    leftOver.add(name);
                } else if (name.startsWith(LOG)) {
                    logs.put(number(name, LOG), name);
                } else if (name.startsWith(SNAPSHOT)) {
                    snapshots.put(number(name, SNAPSHOT), name);
                }
            }
            boolean all = before == Long.MAX_VALUE;
            logs.tailMap(before).clear();
            long first = logs.isEmpty() ? 1 : logs.firstKey();
            if (!snapshots.isEmpty()) {
                first = snapshots.lastKey();
                snapshots.headMap(first).values().forEach(leftOver::add);
                logs.headMap(first).values().forEach(leftOver::add);
                logs.headMap(first).clear();
                read(snapshots.get(first), first, false, true);
            } else if (first != 1) {
                throw new DamagedException(name(LOG, 1), 0, "is missing, and no snapshot stands for it");
            }
            lastLog = first - 1;
            long expected = first;
            for (long number : logs.keySet()) {
                if (number != expected++) {
                    throw new DamagedException(name(LOG, expected - 1), 0, "is missing between others");
                }
                read(logs.get(number), number, all && number == logs.lastKey(), false);
                lastLog = emptyLast ? number - 1 : number;
            }
            if (all && !snapshots.isEmpty() && logs.isEmpty()) {
                throw new DamagedException(name(LOG, first), 0, "is missing after its snapshot");
            }
        }

        private void read(String name, long number, boolean last, boolean whole) throws IOException {
            byte[] content = disk.read(name);
            ByteBuffer in = ByteBuffer.wrap(content);
            if (content.length < HEADER || in.getLong(0) != MAGIC || in.getLong(8) != number) {
                if (last && content.length <= HEADER) {
                    emptyLast = true;
                    cutFile = name;
                    return;
                }
                throw new DamagedException(name, 0, "is no file of this store");
            }
            int at = HEADER;
            boolean ended = false;
            while (at < content.length) {
                int length = Batch.lengthAt(in, at);
                if (length < 0) {
                    if (whole || !last || Batch.followed(in, at, batch)) {
                        throw new DamagedException(name, at, "a batch cannot be read, and others follow it");
                    }
                    cut = content.length - at;
                    cutAt = at;
                    cutFile = name;
                    return;
                }
                long its = Batch.numberAt(in, at);
                if (whole ? its < batch : its <= batch) {
                    throw new DamagedException(name, at, "batch " + its + " comes after " + batch);
                }
                if (!whole && its != batch + 1) {
                    throw new DamagedException(name, at, "batch " + (batch + 1) + " is missing before " + its);
                }
                batch = its;
                ended = length == 0;
                replay(name, content, at + Batch.HEADER, length);
                batches++;
                bytes += length;
                at += Batch.HEADER + length;
            }
            if (whole && !ended) {
                throw new DamagedException(name, content.length, "the snapshot has no end");
            }
        }

        private void replay(String name, byte[] content, int from, int length) throws IOException {
            ByteBuffer in = ByteBuffer.wrap(content, from, length);
            while (in.hasRemaining()) {
                int size = in.getInt();
                int at = in.position();
                try {
                    replay.accept(EntryCodec.read(content, at, size));
                } catch (IOException | IllegalStateException wrong) {
                    throw new DamagedException(name, at, wrong.getMessage());
                }
                entries++;
                in.position(at + size);
            }
        }
    }

    private static long number(String name, String prefix) throws IOException {
        try {
            return Long.parseLong(name.substring(prefix.length()));
        } catch (NumberFormatException foreign) {
            throw new DamagedException(name, 0, "is no name of this store");
        }
    }

    static String name(String prefix, long number) {
        return String.format("%s%016d", prefix, number);
    }

    // ---- Writing ----

    /** Appends these as one batch and returns once they last. */
    public void commit(List<Entry> batchEntries) throws IOException {
        usable();
        try {
            byte[] batchBytes = encode(batchEntries, ++batch, buffer);
            log.append(batchBytes, batchBytes.length);
            log.sync();
            written += batchBytes.length;
            batches++;
            entries += batchEntries.size();
            bytes += batchBytes.length;
            if (written >= logBytes) {
                nextLog();
            }
        } catch (IOException | RuntimeException broken) {
            failed = true;
            throw broken;
        }
    }

    private void usable() throws IOException {
        if (failed) {
            throw new IOException("the store has failed; nothing more is written before a recovery");
        }
    }

    private static byte[] encode(Iterable<Entry> some, long number, ByteArrayOutputStream buffer) {
        buffer.reset();
        buffer.write(new byte[Batch.HEADER], 0, Batch.HEADER);
        ByteArrayOutputStream one = new ByteArrayOutputStream(256);
        for (Entry entry : some) {
            one.reset();
            EntryCodec.write(entry, one);
            buffer.writeBytes(ByteBuffer.allocate(4).putInt(one.size()).array());
            buffer.writeBytes(one.toByteArray());
        }
        return Batch.frame(buffer.toByteArray(), number);
    }

    private void nextLog() throws IOException {
        if (log != null) {
            log.close();
        }
        long next = logNumber + 1;
        log = begin(disk, name(LOG, next), next);
        log.sync();
        disk.syncNames();
        // Only now is the one before it closed for good.
        logNumber = next;
        written = 0;
    }

    private static Disk.Appender begin(Disk disk, String name, long number) throws IOException {
        Disk.Appender file = disk.create(name);
        file.append(ByteBuffer.allocate(HEADER).putLong(MAGIC).putLong(number).array(), HEADER);
        return file;
    }

    /** The number of the log that is written at present: those below it are closed. */
    public long logNumber() {
        return logNumber;
    }

    /**
     * Puts one snapshot in place of the old one and all logs below this number, which must be closed. It reads these
     * files and nothing else, so it may run beside commits; one at a time. False: there is nothing to replace.
     */
    public static boolean compact(Disk disk, long before) throws IOException {
        List<String> old = older(disk, before);
        if (old.stream().noneMatch(name -> name.startsWith(LOG))) {
            return false;
        }
        Ledger state = new Ledger(READING);
        Reader reader = new Reader(disk, state::replay);
        reader.readAll(before);
        String name = name(SNAPSHOT, before);
        if (disk.list().contains(name + UNFINISHED)) {
            disk.delete(name + UNFINISHED);
        }
        try (Disk.Appender file = begin(disk, name + UNFINISHED, before)) {
            Iterator<Entry> entries = state.snapshot().iterator();
            List<Entry> piece = new ArrayList<>();
            do {
                piece.clear();
                int size = 0;
                while (entries.hasNext() && size < PIECE) {
                    Entry entry = entries.next();
                    piece.add(entry);
                    size += entry instanceof Entry.Accepted accepted ? 64 + accepted.payload().length : 64;
                }
                // The empty batch is the end.
                byte[] bytes = encode(piece, reader.batch, new ByteArrayOutputStream(PIECE));
                file.append(bytes, bytes.length);
            } while (!piece.isEmpty());
            file.sync();
        }
        disk.rename(name + UNFINISHED, name);
        disk.syncNames();
        for (String each : old) {
            disk.delete(each);
        }
        return true;
    }

    private static List<String> older(Disk disk, long before) throws IOException {
        List<String> old = new ArrayList<>();
        for (String name : disk.list()) {
            String prefix = name.endsWith(UNFINISHED) ? null : name.startsWith(LOG) ? LOG
                    : name.startsWith(SNAPSHOT) ? SNAPSHOT : null;
            if (prefix != null && number(name, prefix) < before) {
                old.add(name);
            }
        }
        return old;
    }

    /** Batches, entries and bytes written since it was opened. */
    public long[] written() {
        return new long[] {batches, entries, bytes};
    }

    @Override
    public void close() throws IOException {
        if (log != null) {
            log.close();
        }
    }
}
