package ferngrade.jobstore;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Simulates a directory in memory for tests. It loses power after a set number of steps; each
 * write, sync and name change is a step. After a power loss an unsynced write may be complete,
 * missing or torn, or may be present although an earlier write is missing; unsynced name changes
 * may be undone. A set fraction of the syncs return without any effect.
 *
 * <p>Operations also fail if {@link #fail} has scheduled a fault for them. After a failed sync, a
 * file is still read as it was written, and later syncs of it succeed but make nothing durable,
 * like a kernel that drops the pages it could not write. Likewise, after a failed sync of the
 * directory, the name changes before it never become durable.
 */
public final class FaultInjectingStorage implements Storage {
  /** Thrown by the operation during which power is lost. */
  public static final class PowerLost extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /** The operations that can be made to fail. */
  public enum Operation {
    CREATE,
    WRITE,
    SYNC,
    RENAME,
    DELETE,
    SYNC_NAMES
  }

  /** The errors of the operating system that a failing operation reports. */
  public enum Errno {
    /** The file system is full. */
    ENOSPC("No space left on device"),
    /** The device failed. */
    EIO("Input/output error");

    private final String message;

    Errno(String message) {
      this.message = message;
    }
  }

  /** Thrown by an operation that fails as scheduled. */
  public static final class DiskFault extends IOException {
    private static final long serialVersionUID = 1L;

    private final Operation operation;
    private final Errno errno;

    DiskFault(Operation operation, Errno errno) {
      super(errno.message);
      this.operation = operation;
      this.errno = errno;
    }

    /** The operation that failed. */
    public Operation operation() {
      return operation;
    }

    /** The error code with which the operation failed. */
    public Errno errno() {
      return errno;
    }
  }

  /**
   * The initial value of {@link #tornWrite}: a write that fails as scheduled writes half of its
   * bytes. {@link #tearWritesAt} replaces it with a number of bytes.
   */
  private static final int HALF = -1;

  private final SplittableRandom random;
  private final double skippedSyncRate;
  private final Map<String, InMemoryFile> names = new TreeMap<>();
  private Map<String, InMemoryFile> syncedNames = new TreeMap<>();

  /**
   * The files whose names were created or changed before a failed sync of the directory. No later
   * sync makes these names durable.
   */
  private final Map<String, InMemoryFile> unsyncableNames = new TreeMap<>();

  private final FaultSchedule schedule = new FaultSchedule();
  private int tornWrite = HALF;
  private long stepsUntilPowerLoss;
  private long steps;
  private boolean full;
  private int skippedSyncs;

  /**
   * Creates an empty directory; {@code skippedSyncRate} is the fraction of syncs without effect.
   */
  public FaultInjectingStorage(long seed, double skippedSyncRate) {
    this.random = new SplittableRandom(seed);
    this.skippedSyncRate = skippedSyncRate;
    this.stepsUntilPowerLoss = Long.MAX_VALUE;
  }

  /** Loses power in the step after the next {@code steps} steps. */
  public void losePowerAfter(long steps) {
    stepsUntilPowerLoss = steps;
  }

  /** Sets whether the disk is full: if so, every write fails after half of its bytes. */
  public void setFull(boolean isFull) {
    full = isFull;
  }

  /**
   * Lets the next {@code succeeding} operations of this type succeed and the {@code failing}
   * operations after them fail.
   */
  public synchronized void fail(Operation operation, Errno errno, long succeeding, long failing) {
    schedule.schedule(operation, errno, succeeding, failing);
  }

  /** Clears all scheduled faults and frees a full disk. */
  public synchronized void clearFaults() {
    schedule.clear();
    full = false;
  }

  /**
   * Sets the number of bytes that a write with a scheduled failure stores before it fails; by
   * default, half of its bytes.
   */
  public synchronized void tearWritesAt(int bytes) {
    tornWrite = bytes;
  }

  /** The number of writes, syncs and name changes so far. */
  public long steps() {
    return steps;
  }

  /** The number of syncs without effect. */
  public int skippedSyncs() {
    return skippedSyncs;
  }

  private void step() throws PowerLost {
    steps++;
    if (stepsUntilPowerLoss-- <= 0) {
      throw new PowerLost();
    }
  }

  private void attempt(Operation operation) throws IOException {
    step();
    throwIfScheduled(operation);
  }

  private void throwIfScheduled(Operation operation) throws DiskFault {
    Optional<DiskFault> fault = schedule.next(operation);
    if (fault.isPresent()) {
      throw fault.get();
    }
  }

  /** Restores power. A random part of the data that was not durable survives. */
  public synchronized void restorePower() {
    stepsUntilPowerLoss = Long.MAX_VALUE;
    Map<String, InMemoryFile> found = new TreeMap<>(syncedNames);
    // Each name change since the last sync of the directory survives or is undone at random.
    for (String name : names.keySet()) {
      if (syncedNames.get(name) != names.get(name) && random.nextBoolean()) {
        found.put(name, names.get(name));
      }
    }
    found.keySet().removeIf(name -> !names.containsKey(name) && random.nextBoolean());
    names.clear();
    names.putAll(found);
    syncedNames = new TreeMap<>(found);
    unsyncableNames.clear();
    names.values().forEach(file -> file.losePower(random));
  }

  /** Restarts the process after a kill: the operating system still has all written data. */
  public synchronized void restartProcess() {
    stepsUntilPowerLoss = Long.MAX_VALUE;
  }

  /** Flips a random bit of the synced byte at an offset; returns false if there is none. */
  public boolean flipBit(String name, int offset) {
    return names.get(name).flipBit(offset, random);
  }

  @Override
  public synchronized List<String> list() {
    return List.copyOf(names.keySet());
  }

  @Override
  public synchronized byte[] read(String name) {
    return names.get(name).content();
  }

  @Override
  public synchronized Appender create(String name) throws IOException {
    attempt(Operation.CREATE);
    InMemoryFile file = new InMemoryFile();
    if (names.putIfAbsent(name, file) != null) {
      throw new IOException("file already exists: " + name);
    }
    return new Appender() {
      @Override
      public void append(byte[] bytes, int length) throws IOException {
        write(file, bytes, length);
      }

      @Override
      public void sync() throws IOException {
        FaultInjectingStorage.this.sync(file);
      }

      @Override
      public void close() {}
    };
  }

  private synchronized void write(InMemoryFile file, byte[] bytes, int length) throws IOException {
    if (full) {
      file.append(bytes, length / 2);
      throw new DiskFault(Operation.WRITE, Errno.ENOSPC);
    }
    Optional<DiskFault> fault = schedule.next(Operation.WRITE);
    if (fault.isPresent()) {
      file.append(bytes, tornWrite == HALF ? length / 2 : Math.min(tornWrite, length));
      step();
      throw fault.get();
    }
    // The step is counted only after the bytes are written, so that a power loss can also occur
    // directly after a write.
    file.append(bytes, length);
    step();
  }

  private synchronized void sync(InMemoryFile file) throws IOException {
    step();
    Optional<DiskFault> fault = schedule.next(Operation.SYNC);
    if (fault.isPresent()) {
      file.failSync();
      throw fault.get();
    }
    if (skippedSyncRate > 0 && random.nextDouble() < skippedSyncRate) {
      skippedSyncs++;
      return;
    }
    file.sync();
  }

  @Override
  public synchronized void rename(String from, String to) throws IOException {
    attempt(Operation.RENAME);
    names.put(to, names.remove(from));
  }

  @Override
  public synchronized void delete(String name) throws IOException {
    attempt(Operation.DELETE);
    names.remove(name);
  }

  @Override
  public synchronized void syncDirectory() throws IOException {
    step();
    Optional<DiskFault> fault = schedule.next(Operation.SYNC_NAMES);
    if (fault.isPresent()) {
      names.forEach(
          (name, file) -> {
            if (syncedNames.get(name) != file) {
              unsyncableNames.put(name, file);
            }
          });
      throw fault.get();
    }
    Map<String, InMemoryFile> durable = new TreeMap<>(names);
    unsyncableNames.forEach(
        (name, file) -> {
          if (durable.get(name) == file) {
            durable.remove(name);
            if (syncedNames.containsKey(name)) {
              durable.put(name, syncedNames.get(name));
            }
          }
        });
    syncedNames = durable;
  }
}
