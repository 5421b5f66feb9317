package ferngrade.consensus;

import ferngrade.codec.Codec;
import ferngrade.jobstore.CorruptLogException;
import ferngrade.jobstore.LogBatch;
import ferngrade.jobstore.Storage;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RaftStore;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Stores the {@link RaftLogState} of a member on a {@link Storage}. Each flush is one batch and one
 * sync. A torn tail is cut; synced data that cannot be read is an error with file and offset. A
 * file whose write or sync has failed is neither written nor synced again, since it is unknown what
 * the disk holds of its end: everything is rejected until {@link #continueInNewFile} has written
 * the whole state to the next file.
 *
 * <p>The file is rewritten, with a number one higher, once it has grown beyond its bound and a
 * snapshot stands for the log's beginning. Belongs to the member's thread.
 */
public final class RaftLogStore implements RaftStore, AutoCloseable {
  private static final String PREFIX = "voter-";

  /** The suffix of a file until its content is durable. */
  private static final String UNFINISHED_SUFFIX = ".tmp";

  private final Storage storage;
  private final Codec codec;
  private final long maxGrowthBytes;
  private final Consumer<IOException> onFailure;
  private final RaftLogState state = new RaftLogState();
  private final List<Object> unwritten = new ArrayList<>();
  private Optional<Storage.Appender> file = Optional.empty();
  private long fileNumber;
  private long batchNumber;
  private long fileBytes;

  /** The length of the file when it was begun with the whole state. */
  private long initialFileBytes;

  private Optional<IOException> fault = Optional.empty();

  private RaftLogStore(
      Storage storage, Codec codec, long maxGrowthBytes, Consumer<IOException> onFailure) {
    this.storage = storage;
    this.codec = codec;
    this.maxGrowthBytes = maxGrowthBytes;
    this.onFailure = onFailure;
  }

  /**
   * Opens the log of a storage and recovers what it holds.
   *
   * @param maxGrowthBytes by how much the file may grow before it is rewritten
   * @param onFailure notified of a write that fails, after which the member must take no part until
   *     {@link #continueInNewFile} has returned
   * @throws CorruptLogException if synced data is damaged
   * @throws IOException if the storage cannot be read or written
   */
  public static RaftLogStore open(
      Storage storage, Codec codec, long maxGrowthBytes, Consumer<IOException> onFailure)
      throws IOException {
    RaftLogStore log = new RaftLogStore(storage, codec, maxGrowthBytes, onFailure);
    log.recover();
    return log;
  }

  private void recover() throws IOException {
    for (String name : storage.list()) {
      if (name.startsWith(PREFIX) && !name.endsWith(UNFINISHED_SUFFIX)) {
        fileNumber = Math.max(fileNumber, Long.parseLong(name.substring(PREFIX.length())));
      }
    }
    if (fileNumber > 0) {
      replay(name(fileNumber));
    }
    // An old file is never appended to: the state of its end after a crash need not be known.
    rewrite();
  }

  private void replay(String name) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer in = ByteBuffer.wrap(content);
    int at = 0;
    while (at < content.length) {
      int length = LogBatch.lengthAt(in, at);
      if (length < 0) {
        if (at == 0 || LogBatch.followed(in, at, batchNumber)) {
          throw new CorruptLogException(name, at, "a batch cannot be read, and it was synced");
        }
        return;
      }
      if (LogBatch.numberAt(in, at) != batchNumber + 1 && at > 0) {
        throw new CorruptLogException(name, at, "batch " + (batchNumber + 1) + " is missing");
      }
      batchNumber = LogBatch.numberAt(in, at);
      int from = at + LogBatch.HEADER_BYTES;
      if (!(codec.read(content, from, length) instanceof Collection<?> items)) {
        throw new CorruptLogException(name, at, "a batch is no list");
      }
      items.forEach(state::apply);
      at = from + length;
    }
  }

  /** What was stored; empty for a member that is new or has lost its disk. */
  public Optional<RestoredRaftState> restored() {
    return state.restored();
  }

  private void add(Object item) throws IOException {
    requireUsable();
    unwritten.add(item);
    state.apply(item);
  }

  @Override
  public void persistAndFlushLocalEndpoint(RaftEndpointPersistentState endpoint)
      throws IOException {
    add(endpoint);
    flush();
  }

  @Override
  public void persistAndFlushInitialGroupMembers(RaftGroupMembersView members) throws IOException {
    add(members);
    flush();
  }

  @Override
  public void persistAndFlushTerm(RaftTermPersistentState term) throws IOException {
    add(term);
    flush();
  }

  @Override
  public void persistLogEntries(List<LogEntry> entries) throws IOException {
    for (LogEntry each : entries) {
      add(each);
    }
  }

  @Override
  public void persistSnapshotChunk(SnapshotChunk chunk) throws IOException {
    add(chunk);
  }

  @Override
  public void truncateLogEntriesFrom(long index) throws IOException {
    add(new RaftLogState.TruncateFrom(index));
  }

  @Override
  public void truncateLogEntriesUntil(long index) throws IOException {
    add(new RaftLogState.TruncateUntil(index));
  }

  @Override
  public void deleteSnapshotChunks(long index, int count) throws IOException {
    add(new RaftLogState.DeleteChunks(index));
  }

  @Override
  public void flush() throws IOException {
    if (unwritten.isEmpty() && fault.isEmpty()) {
      return;
    }
    try {
      requireUsable();
      write(file.orElseThrow(), unwritten);
      unwritten.clear();
      if (fileBytes > initialFileBytes + maxGrowthBytes && state.hasSnapshotChunks()) {
        rewrite();
      }
    } catch (IOException failure) {
      if (fault.isEmpty()) {
        fault = Optional.of(failure);
        onFailure.accept(failure);
      }
      throw failure;
    }
  }

  private void requireUsable() throws IOException {
    if (fault.isPresent()) {
      throw new IOException("the voter's disk has failed before", fault.get());
    }
  }

  /**
   * After a failure, writes the whole state to the next file, with what the failed flush was to
   * write; nothing of that was acknowledged.
   *
   * @throws IOException if the disk still fails
   */
  public void continueInNewFile() throws IOException {
    if (fault.isPresent()) {
      rewrite();
      unwritten.clear();
      fault = Optional.empty();
    }
  }

  private void write(Storage.Appender to, List<Object> items) throws IOException {
    byte[] content = codec.write(items);
    byte[] batch = new byte[LogBatch.HEADER_BYTES + content.length];
    System.arraycopy(content, 0, batch, LogBatch.HEADER_BYTES, content.length);
    batchNumber++;
    LogBatch.frame(batch, batchNumber);
    to.append(batch, batch.length);
    to.sync();
    fileBytes += batch.length;
  }

  /**
   * Writes the whole state to a file with the next number; the files before it are deleted once the
   * new name is durable.
   */
  private void rewrite() throws IOException {
    String next = name(fileNumber + 1);
    String unfinished = next + UNFINISHED_SUFFIX;
    if (storage.list().contains(unfinished)) {
      storage.delete(unfinished);
    }
    Storage.Appender rewritten = storage.create(unfinished);
    try {
      fileBytes = 0;
      write(rewritten, state.items());
      storage.rename(unfinished, next);
      storage.syncNames();
    } catch (IOException | RuntimeException failure) {
      closeQuietly(rewritten);
      throw failure;
    }
    initialFileBytes = fileBytes;
    file.ifPresent(RaftLogStore::closeQuietly);
    file = Optional.of(rewritten);
    fileNumber++;
    deleteObsoleteFiles();
  }

  /** Deletes the files before the present one; what cannot be deleted goes with the next one. */
  private void deleteObsoleteFiles() {
    try {
      for (String each : storage.list()) {
        if (each.startsWith(PREFIX) && !each.equals(name(fileNumber))) {
          storage.delete(each);
        }
      }
    } catch (IOException retriedByNextRewrite) {
      // A recovery reads the file with the highest number alone.
    }
  }

  private static void closeQuietly(Storage.Appender file) {
    try {
      file.close();
    } catch (IOException ignored) {
      // What the file holds is either synced or not relied on.
    }
  }

  private static String name(long number) {
    return String.format("%s%016d", PREFIX, number);
  }

  @Override
  public void close() throws IOException {
    if (file.isPresent()) {
      file.get().close();
    }
  }
}
