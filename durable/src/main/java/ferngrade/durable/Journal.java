package ferngrade.durable;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.zip.CRC32C;

/**
 * The log of a store: entries go in by batches, one sync for each, and come back in their order. Old logs are replaced
 * by a snapshot, which is written in pieces between the batches so that no commit waits for the whole of it.
 *
 * <p>A file begins with a magic word, the version and its number. A batch is its length, a CRC-32C, its number and its
 * entries; numbers grow by one over all files. A batch is begun only when the one before it is synced, so a batch that
 * cannot be read is a torn tail if nothing readable follows it, and is cut; if something does, what was synced has been
 * damaged, and that is an error with file and offset.
 *
 * <p>One thread at a time uses it. After a failed write or sync it refuses everything: what a disk holds then, nobody
 * knows before a recovery.
 */
public final class Journal implements AutoCloseable {
    static final int HEADER = 16;
    private static final int BATCH_HEADER = 16;
    private static final long MAGIC = 0x464e47_4c4f47_0001L;
    private static final int MOST_BATCH = 64 << 20;
    private static final int PIECE = 256 << 10;
    private static final String LOG = "log-";
    private static final String SNAPSHOT = "snap-";
    private static final String UNFINISHED = ".tmp";

    private final Disk disk;
    private final long logBytes;
    private final ByteArrayOutputStream buffer = new ByteArrayOutputStream(1 << 16);
    private Disk.Appender log;
    private long logNumber;
    private long written;
    private long batch;
    private boolean failed;
    private Snapshot snapshot;
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
        reader.readAll();
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
        reader.readAll();
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

        void readAll() throws IOException {
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
                read(logs.get(number), number, number == logs.lastKey(), false);
                lastLog = emptyLast ? number - 1 : number;
            }
            if (!snapshots.isEmpty() && logs.isEmpty()) {
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
                int length = batchAt(in, at);
                if (length < 0) {
                    if (whole || !last || followed(in, at)) {
                        throw new DamagedException(name, at, "a batch cannot be read, and others follow it");
                    }
                    cut = content.length - at;
                    cutAt = at;
                    cutFile = name;
                    return;
                }
                long its = in.getLong(at + 8);
                if (whole ? its < batch : its <= batch) {
                    throw new DamagedException(name, at, "batch " + its + " comes after " + batch);
                }
                if (!whole && its != batch + 1) {
                    throw new DamagedException(name, at, "batch " + (batch + 1) + " is missing before " + its);
                }
                batch = its;
                ended = length == 0;
                replay(name, content, at + BATCH_HEADER, length);
                batches++;
                bytes += length;
                at += BATCH_HEADER + length;
            }
            if (whole && !ended) {
                throw new DamagedException(name, content.length, "the snapshot has no end");
            }
        }

        /** The length of the batch at an offset, -1 if none can be read there. */
        private static int batchAt(ByteBuffer in, int at) {
            if (in.capacity() - at < BATCH_HEADER) {
                return -1;
            }
            int length = in.getInt(at);
            if (length < 0 || length > MOST_BATCH || length > in.capacity() - at - BATCH_HEADER) {
                return -1;
            }
            return in.getInt(at + 4) == checksum(in.array(), at + 8, 8 + length, length) ? length : -1;
        }

        /** True if a later batch can be read: its write began when this one's sync had returned. */
        private boolean followed(ByteBuffer in, int from) {
            for (int at = from + 1; at <= in.capacity() - BATCH_HEADER; at++) {
                long number = in.getLong(at + 8);
                if (number > batch + 1 && number < batch + 1_000_000_000L && batchAt(in, at) >= 0) {
                    return true;
                }
            }
            return false;
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

    private static int checksum(byte[] bytes, int from, int count, int length) {
        CRC32C crc = new CRC32C();
        crc.update(length >>> 24);
        crc.update(length >>> 16);
        crc.update(length >>> 8);
        crc.update(length);
        crc.update(bytes, from, count);
        return (int) crc.getValue();
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
            byte[] batchBytes = encode(batchEntries, ++batch);
            log.append(batchBytes, batchBytes.length);
            log.sync();
            written += batchBytes.length;
            batches++;
            entries += batchEntries.size();
            bytes += batchBytes.length;
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

    private byte[] encode(Iterable<Entry> some, long number) {
        buffer.reset();
        buffer.write(new byte[BATCH_HEADER], 0, BATCH_HEADER);
        ByteArrayOutputStream one = new ByteArrayOutputStream(256);
        for (Entry entry : some) {
            one.reset();
            EntryCodec.write(entry, one);
            buffer.writeBytes(ByteBuffer.allocate(4).putInt(one.size()).array());
            buffer.writeBytes(one.toByteArray());
        }
        byte[] all = buffer.toByteArray();
        int length = all.length - BATCH_HEADER;
        ByteBuffer.wrap(all).putInt(0, length).putLong(8, number);
        ByteBuffer.wrap(all).putInt(4, checksum(all, 8, 8 + length, length));
        return all;
    }

    private void nextLog() throws IOException {
        if (log != null) {
            log.close();
        }
        log = begin(name(LOG, ++logNumber), logNumber);
        log.sync();
        disk.syncNames();
        written = 0;
    }

    private Disk.Appender begin(String name, long number) throws IOException {
        Disk.Appender file = disk.create(name);
        file.append(ByteBuffer.allocate(HEADER).putLong(MAGIC).putLong(number).array(), HEADER);
        return file;
    }

    /** True once the log has grown so far that a snapshot should take its place. */
    public boolean wantsSnapshot() {
        return snapshot == null && !failed && written >= logBytes;
    }

    /**
     * Begins a snapshot of the state after the last commit, as these entries give it, and a new log for what follows.
     * {@link #writePiece} writes it.
     */
    public void beginSnapshot(List<Entry> state) throws IOException {
        usable();
        try {
            nextLog();
            snapshot = new Snapshot(state.iterator(), logNumber, batch);
        } catch (IOException | RuntimeException broken) {
            failed = true;
            throw broken;
        }
    }

    /** Writes a piece of the snapshot in work, if there is one; false: there is nothing left to write. */
    public boolean writePiece() throws IOException {
        if (snapshot == null) {
            return false;
        }
        usable();
        try {
            if (snapshot.write()) {
                snapshot = null;
            }
            return true;
        } catch (IOException | RuntimeException broken) {
            failed = true;
            throw broken;
        }
    }

    private final class Snapshot {
        private final Iterator<Entry> state;
        private final long number;
        private final long upTo;
        private final String name;
        private final Disk.Appender file;

        Snapshot(Iterator<Entry> state, long number, long upTo) throws IOException {
            this.state = state;
            this.number = number;
            this.upTo = upTo;
            this.name = name(SNAPSHOT, number);
            this.file = begin(name + UNFINISHED, number);
        }

        /** True once it is whole and stands in place of what was before it. */
        boolean write() throws IOException {
            List<Entry> piece = new ArrayList<>();
            int size = 0;
            while (state.hasNext() && size < PIECE) {
                Entry entry = state.next();
                piece.add(entry);
                size += entry instanceof Entry.Accepted accepted ? 64 + accepted.payload().length : 64;
            }
            byte[] batchBytes = encode(piece, upTo);
            file.append(batchBytes, batchBytes.length);
            if (!piece.isEmpty()) {
                return false;
            }
            // The empty batch is its end.
            file.sync();
            file.close();
            disk.rename(name + UNFINISHED, name);
            disk.syncNames();
            for (String old : disk.list()) {
                boolean log = old.startsWith(LOG) && number(old, LOG) < number;
                if (log || old.startsWith(SNAPSHOT) && !old.endsWith(UNFINISHED) && number(old, SNAPSHOT) < number) {
                    disk.delete(old);
                }
            }
            return true;
        }
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
