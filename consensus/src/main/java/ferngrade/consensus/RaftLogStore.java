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
 * Stores the {@link RaftLogState} of a member on a {@link Storage}. Each flush writes one batch and
 * syncs once. Recovery cuts a torn tail; synced data that cannot be read is an error that names the
 * file and the offset. A file whose write or sync has failed is neither written nor synced again,
 * because it is unknown which of its last bytes are on disk. Until {@link #continueInNewFile} has
 * written the whole state to the next file, all operations are rejected.
 *
 * <p>The store rewrites its state to a file with the next number once the file has grown beyond its
 * bound and a snapshot covers the beginning of the log. Confined to the member's thread.
 */
public final class RaftLogStore implements RaftStore, AutoCloseable {
  private static final String PREFIX = "voter-";

  /** The suffix of a file whose content is not durable yet. */
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

  /** The length of the file after the whole state was written to it, bytes. */
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
   * Opens the log on a storage and recovers its state.
   *
   * @param maxGrowthBytes the growth of the file after which it is rewritten
   * @param onFailure called when a write fails; the member must then not participate until {@link
   *     #continueInNewFile} has returned
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
    // Recovery never appends to an existing file, because after a crash it may be unknown which of
    // its last bytes are on disk.
    rewrite();
  }

  private void replay(String name) throws IOException {
    byte[] content = storage.read(name);
    ByteBuffer buffer = ByteBuffer.wrap(content);
    int offset = 0;
    while (offset < content.length) {
      int length = LogBatch.lengthAt(buffer, offset);
      if (length < 0) {
        if (offset == 0 || LogBatch.isFollowedByBatch(buffer, offset, batchNumber)) {
          throw new CorruptLogException(name, offset, "a synced batch cannot be read");
        }
        return;
      }
      if (LogBatch.numberAt(buffer, offset) != batchNumber + 1 && offset > 0) {
        throw new CorruptLogException(name, offset, "batch " + (batchNumber + 1) + " is missing");
      }
      batchNumber = LogBatch.numberAt(buffer, offset);
      int contentOffset = offset + LogBatch.HEADER_BYTES;
      if (!(codec.read(content, contentOffset, length) instanceof Collection<?> items)) {
        throw new CorruptLogException(name, offset, "a batch is not a list");
      }
      items.forEach(state::apply);
      offset = contentOffset + length;
    }
  }

  /** Returns the recovered state, empty if the member is new or has lost its disk. */
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
    for (LogEntry entry : entries) {
      add(entry);
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
      throw new IOException("the member's disk has failed before", fault.get());
    }
  }

  /**
   * Writes the whole state to the next file after a failure. The state includes the items of the
   * failed flush; none of these items was acknowledged.
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
   * Writes the whole state to a file with the next number and deletes the earlier files once the
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
      storage.syncDirectory();
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

  /** Deletes the files before the current file. The next rewrite repeats a failed deletion. */
  private void deleteObsoleteFiles() {
    try {
      for (String name : storage.list()) {
        if (name.startsWith(PREFIX) && !name.equals(name(fileNumber))) {
          storage.delete(name);
        }
      }
    } catch (IOException retriedByNextRewrite) {
      // Recovery reads only the file with the highest number.
    }
  }

  private static void closeQuietly(Storage.Appender file) {
    try {
      file.close();
    } catch (IOException ignored) {
      // Ignored: the content of the file is either synced or not needed.
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
