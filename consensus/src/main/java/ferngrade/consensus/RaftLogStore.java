package ferngrade.consensus;

import ferngrade.codec.Codec;
import ferngrade.jobstore.CorruptLogException;
import ferngrade.jobstore.LogBatch;
import ferngrade.jobstore.Storage;
import io.microraft.model.impl.log.DefaultSnapshotEntryOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/**
 * What a voter must not forget: who it is, its term and vote, the log and the last snapshot, on a
 * {@link Storage}. Each flush is one batch and one sync. A torn tail is cut; what was synced and
 * cannot be read is an error with file and offset. A file whose write or sync has failed is neither
 * written nor synced again, since nobody knows what the disk holds of its end: everything is
 * refused until {@link #continueInNewFile} has written all that counts into the next file.
 *
 * <p>The file is written anew, with a number one higher, once it has grown beyond its bound and a
 * snapshot stands for the log's beginning. Belongs to the voter's thread.
 */
public final class RaftLogStore implements RaftStore, AutoCloseable {
  private static final String PREFIX = "voter-";
  private static final String UNFINISHED = ".tmp";

  /** The log's entries from this index on are void. */
  record CutFrom(long index) {}

  /** The log's entries up to this index are in a snapshot. */
  record CutUntil(long index) {}

  /** The parts of the snapshot at this index are no longer wanted. */
  record DropChunks(long index) {}

  private final Storage disk;
  private final Codec codec;
  private final long fileBytes;
  private final Consumer<IOException> failed;
  private final List<Object> unwritten = new ArrayList<>();
  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
  private RaftEndpointPersistentState endpoint;
  private RaftGroupMembersView initial;
  private RaftTermPersistentState term;
  private Storage.Appender file;
  private long fileNumber;
  private long batch;
  private long written;

  /** The length of the file when it was begun with all that counted. */
  private long begunWith;

  private IOException broken;

  private RaftLogStore(Storage disk, Codec codec, long fileBytes, Consumer<IOException> failed) {
    this.disk = disk;
    this.codec = codec;
    this.fileBytes = fileBytes;
    this.failed = failed;
  }

  /**
   * Opens the log of a folder and recovers what it holds; {@code failed} is told of a write that
   * fails, after which the voter must take no part until {@link #continueInNewFile} has returned.
   */
  public static RaftLogStore open(
      Storage disk, Codec codec, long fileBytes, Consumer<IOException> failed) throws IOException {
    RaftLogStore log = new RaftLogStore(disk, codec, fileBytes, failed);
    log.recover();
    return log;
  }

  // ---- Recovery ----

  private void recover() throws IOException {
    for (String name : disk.list()) {
      if (name.startsWith(PREFIX) && !name.endsWith(UNFINISHED)) {
        fileNumber = Math.max(fileNumber, Long.parseLong(name.substring(PREFIX.length())));
      }
    }
    if (fileNumber > 0) {
      replay(name(fileNumber));
    }
    // A file is never gone on with: what its end is like after a crash need not be known.
    rewrite();
  }

  private void replay(String name) throws IOException {
    byte[] content = disk.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    int at = 0;
    while (at < content.length) {
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        if (at == 0 || LogBatch.followed(in, at, batch)) {
          throw new CorruptLogException(name, at, "a batch cannot be read, and it was synced");
        }
        return;
      }
      if (LogBatch.numberAt(in, at) != batch + 1 && at > 0) {
        throw new CorruptLogException(name, at, "batch " + (batch + 1) + " is missing");
      }
      batch = LogBatch.numberAt(in, at);
      if (!(codec.read(content, at + LogBatch.HEADER_BYTES, length)
          instanceof Collection<?> items)) {
        throw new CorruptLogException(name, at, "a batch is no list");
      }
      items.forEach(this::apply);
      at += LogBatch.HEADER_BYTES + length;
    }
  }

  private void apply(Object item) {
    if (item instanceof LogEntry entry) {
      entries.put(entry.getIndex(), entry);
    } else if (item instanceof CutFrom cut) {
      entries.tailMap(cut.index(), true).clear();
    } else if (item instanceof CutUntil cut) {
      entries.headMap(cut.index(), true).clear();
    } else if (item instanceof SnapshotChunk chunk) {
      chunks
          .computeIfAbsent(chunk.getIndex(), key -> new TreeMap<>())
          .put(chunk.getSnapshotChunkIndex(), chunk);
    } else if (item instanceof DropChunks drop) {
      chunks.remove(drop.index());
    } else if (item instanceof RaftTermPersistentState state) {
      term = state;
    } else if (item instanceof RaftGroupMembersView members) {
      initial = members;
    } else if (item instanceof RaftEndpointPersistentState state) {
      endpoint = state;
    } else {
      throw new IllegalStateException("not a part of a voter's log: " + item);
    }
  }

  /**
   * What the disk held, null if nothing: a voter that has never been, or one that has lost its
   * disk.
   */
  public RestoredRaftState restored() {
    if (endpoint == null || initial == null) {
      return null;
    }
    SnapshotEntry snapshot = snapshot();
    long from = snapshot == null ? 0 : snapshot.getIndex();
    RaftTermPersistentState known =
        term != null ? term : new DefaultRaftTermPersistentStateOrBuilder().setTerm(0).build();
    return new RestoredRaftState(
        endpoint, initial, known, snapshot, new ArrayList<>(entries.tailMap(from, false).values()));
  }

  private SnapshotEntry snapshot() {
    for (Map.Entry<Long, TreeMap<Integer, SnapshotChunk>> each :
        chunks.descendingMap().entrySet()) {
      SnapshotChunk first = each.getValue().firstEntry().getValue();
      if (each.getValue().size() == first.getSnapshotChunkCount()) {
        return new DefaultSnapshotEntryOrBuilder()
            .setIndex(each.getKey())
            .setTerm(first.getTerm())
            .setSnapshotChunks(new ArrayList<>(each.getValue().values()))
            .setGroupMembersView(first.getGroupMembersView())
            .build();
      }
    }
    return null;
  }

  // ---- Writing ----

  private void keep(Object item) throws IOException {
    usable();
    unwritten.add(item);
    apply(item);
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState state) throws IOException {
    keep(state);
    flush();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    keep(members);
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState state) throws IOException {
    keep(state);
    flush();
  }

  @Override
  public void persistLogEntries(List<LogEntry> some) throws IOException {
    for (LogEntry each : some) {
      keep(each);
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    keep(chunk);
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    keep(new CutFrom(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    keep(new CutUntil(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    keep(new DropChunks(index));
  }

  @Override
  public void flush() throws IOException {
    if (unwritten.isEmpty() && broken == null) {
      return;
    }
    try {
      usable();
      write(file, unwritten);
      unwritten.clear();
      if (written > begunWith + fileBytes && !chunks.isEmpty()) {
        rewrite();
      }
    } catch (IOException failure) {
      if (broken == null) {
        broken = failure;
        failed.accept(failure);
      }
      throw failure;
    }
  }

  private void usable() throws IOException {
    if (broken != null) {
      throw new IOException("the voter's disk has failed before", broken);
    }
  }

  /**
   * After a failure, writes all that counts into the next file, with what the failed flush was to
   * write; nothing of that was acknowledged. An {@link IOException} says that the disk still fails.
   */
  public void continueInNewFile() throws IOException {
    if (broken != null) {
      rewrite();
      unwritten.clear();
      broken = null;
    }
  }

  private void write(Storage.Appender to, List<Object> items) throws IOException {
    byte[] content = codec.write(items);
    byte[] all = new byte[LogBatch.HEADER_BYTES + content.length];
    System.arraycopy(content, 0, all, LogBatch.HEADER_BYTES, content.length);
    LogBatch.frame(all, ++batch);
    to.append(all, all.length);
    to.sync();
    written += all.length;
  }

  /**
   * Writes all that counts into a file with the next number; those before it go once the new name
   * lasts.
   */
  private void rewrite() throws IOException {
    List<Object> all = new ArrayList<>();
    if (endpoint != null) {
      all.add(endpoint);
    }
    if (initial != null) {
      all.add(initial);
    }
    if (term != null) {
      all.add(term);
    }
    chunks.values().forEach(each -> all.addAll(each.values()));
    all.addAll(entries.values());
    String next = name(fileNumber + 1);
    if (disk.list().contains(next + UNFINISHED)) {
      disk.delete(next + UNFINISHED);
    }
    Storage.Appender begun = disk.create(next + UNFINISHED);
    try {
      written = 0;
      write(begun, all);
      disk.rename(next + UNFINISHED, next);
      disk.syncNames();
    } catch (IOException | RuntimeException failure) {
      closeQuietly(begun);
      throw failure;
    }
    begunWith = written;
    if (file != null) {
      closeQuietly(file);
    }
    file = begun;
    fileNumber++;
    deleteOthers();
  }

  /**
   * Removes files that the present one stands for; what cannot be removed goes with the next one.
   */
  private void deleteOthers() {
    try {
      for (String each : disk.list()) {
        if (each.startsWith(PREFIX) && !each.equals(name(fileNumber))) {
          disk.delete(each);
        }
      }
    } catch (IOException later) {
      // A recovery reads the file with the highest number alone.
    }
  }

  private static void closeQuietly(Storage.Appender file) {
    try {
      file.close();
    } catch (IOException nothingNew) {
      // What the file holds is either synced or not counted on.
    }
  }

  private static String name(long number) {
    return String.format("%s%016d", PREFIX, number);
  }

  @Override
  public void close() throws IOException {
    file.close();
  }
}
