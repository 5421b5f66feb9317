package ferngrade.node;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.FileSystemException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * An in-memory file system that simulates kills and power failures, and whose operations fail on
 * request. A write transfers one byte at a time, so that a crash can be injected after each byte.
 */
public final class FaultInjectingFileOperations implements FileOperations {
  /** The operations that can fail. */
  public enum Operation {
    CREATE,
    WRITE,
    SYNC,
    RENAME,
    SYNC_FOLDER
  }

  /** Thrown by the operation at which the simulated process is killed. */
  static final class Killed extends Error {
    private static final long serialVersionUID = 1;
  }

  private static final class Inode {
    private final ByteArrayOutputStream content = new ByteArrayOutputStream();
    private byte[] synced = new byte[0];
  }

  private final Map<Path, Inode> inodes = new HashMap<>();
  private Map<Path, Inode> syncedInodes = new HashMap<>();
  private Operation failing;
  private Failure failure;
  private int operationsBeforeKill = Integer.MAX_VALUE;
  private int failures;

  /** A fault to inject: an I/O error or a runtime exception. */
  @FunctionalInterface
  public interface Failure {
    /** Returns normally or throws the fault. */
    void fail() throws IOException;
  }

  /** Returns a fault that throws an operating system error with this message. */
  public static Failure error(String message) {
    return () -> {
      throw new FileSystemException(message);
    };
  }

  /** Makes this operation fail from now on. */
  public synchronized void fail(Operation operation, Failure fault) {
    failing = operation;
    failure = fault;
  }

  /** Removes the injected fault, so that all operations succeed. */
  public synchronized void clearFault() {
    failing = null;
  }

  /** Returns the number of operations that have failed. */
  public synchronized int failures() {
    return failures;
  }

  /** Kills the simulated process at the operation that follows this number of operations. */
  void killAfter(int operations) {
    operationsBeforeKill = operations;
  }

  /** Returns the files that a process finds after a kill: every completed write is kept. */
  FaultInjectingFileOperations afterKill() {
    FaultInjectingFileOperations copy = new FaultInjectingFileOperations();
    inodes.forEach((name, inode) -> copy.put(name, inode.content.toByteArray()));
    return copy;
  }

  /**
   * Returns the files that a process finds after a power failure: file contents as of their last
   * sync, and directory entries as of their last change or their last sync.
   */
  FaultInjectingFileOperations afterPowerFailure(boolean namesDurable) {
    FaultInjectingFileOperations copy = new FaultInjectingFileOperations();
    (namesDurable ? inodes : syncedInodes).forEach((name, inode) -> copy.put(name, inode.synced));
    return copy;
  }

  /** Creates or replaces a file that is entirely durable. */
  void put(Path file, byte[] content) {
    Inode inode = new Inode();
    inode.content.writeBytes(content);
    inode.synced = content;
    inodes.put(file, inode);
    syncedInodes.put(file, inode);
  }

  private void beginOperation(Operation operation) throws IOException {
    Failure injected = null;
    synchronized (this) {
      if (operationsBeforeKill-- == 0) {
        throw new Killed();
      }
      if (operation == failing) {
        failures++;
        injected = failure;
      }
    }
    // Called without the lock, so that a sync that hangs does not block other operations.
    if (injected != null) {
      injected.fail();
    }
  }

  @Override
  public synchronized byte[] read(Path file) throws IOException {
    Inode inode = inodes.get(file);
    if (inode == null) {
      throw new NoSuchFileException(file.toString());
    }
    return inode.content.toByteArray();
  }

  @Override
  public synchronized OutputFile create(Path file) throws IOException {
    beginOperation(Operation.CREATE);
    Inode inode = new Inode();
    if (inodes.putIfAbsent(file, inode) != null) {
      throw new FileSystemException(file + " already exists");
    }
    return new OutputFile() {
      @Override
      public void write(ByteBuffer bytes) throws IOException {
        beginOperation(Operation.WRITE);
        inode.content.write(bytes.get());
      }

      @Override
      public void sync() throws IOException {
        beginOperation(Operation.SYNC);
        inode.synced = inode.content.toByteArray();
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized SyncableFile append(Path file, ByteBuffer bytes) throws IOException {
    if (!inodes.containsKey(file)) {
      beginOperation(Operation.CREATE);
      inodes.put(file, new Inode());
    }
    Inode inode = inodes.get(file);
    while (bytes.hasRemaining()) {
      beginOperation(Operation.WRITE);
      inode.content.write(bytes.get());
    }
    return new SyncableFile() {
      @Override
      public void sync() throws IOException {
        beginOperation(Operation.SYNC);
        inode.synced = inode.content.toByteArray();
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized FollowedFile follow(Path file) throws IOException {
    Inode inode = inodes.get(file);
    if (inode == null) {
      throw new NoSuchFileException(file.toString());
    }
    return new FollowedFile() {
      @Override
      public long size() {
        return inode.content.size();
      }

      @Override
      public int read(ByteBuffer into, long position) {
        byte[] content = inode.content.toByteArray();
        int length = Math.min(into.remaining(), content.length - (int) position);
        into.put(content, (int) position, length);
        return length;
      }

      @Override
      public boolean isAt(Path path) {
        return inodes.get(path) == inode;
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public synchronized void rename(Path from, Path to) throws IOException {
    beginOperation(Operation.RENAME);
    inodes.put(to, inodes.remove(from));
  }

  @Override
  public synchronized void delete(Path file) {
    inodes.remove(file);
  }

  @Override
  public synchronized void syncFolder(Path folder) throws IOException {
    beginOperation(Operation.SYNC_FOLDER);
    syncedInodes = new HashMap<>(inodes);
  }
}
