package ferngrade.jobstore;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A folder in memory that loses power after so many writes, syncs and changes of names. What was
 * not synced may then be there, be gone, be torn, or be there with what was written before it gone;
 * names that were not synced may be as they were. With lies, a sync now and then returns with
 * nothing synced.
 *
 * <p>Operations also fail as scripted with {@link #fail}. A file whose sync has failed is read as
 * it was written, and no later sync of it makes anything last, though it returns: so does a kernel
 * that drops the pages it could not write. The same holds for names that were changed before a
 * failed sync of the folder.
 */
public final class FaultInjectingStorage implements Storage {
  /** The power has gone. */
  public static final class PowerLost extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /** What can be told to fail. */
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

  /** An operation that failed as scripted. */
  public static final class DiskFault extends IOException {
    private static final long serialVersionUID = 1L;

    private final Operation operation;
    private final Errno errno;

    DiskFault(Operation operation, Errno errno) {
      super(errno.message);
      this.operation = operation;
      this.errno = errno;
    }

    public Operation operation() {
      return operation;
    }

    public Errno errno() {
      return errno;
    }
  }

  /** The operations of one kind that fail: after so many that work, so many. */
  private static final class Script {
    private final Errno errno;
    private long working;
    private long failing;

    Script(Errno errno, long working, long failing) {
      this.errno = errno;
      this.working = working;
      this.failing = failing;
    }

    boolean failsNow() {
      if (working > 0) {
        working--;
        return false;
      }
      return failing-- > 0;
    }
  }

  private static final class Content {
    boolean syncFailed;
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

  private static final int HALF = -1;

  private final SplittableRandom chance;
  private final double lies;
  private final Map<String, Content> names = new TreeMap<>();
  private Map<String, Content> syncedNames = new TreeMap<>();

  /** Names as they were changed before a sync of them failed. */
  private final Map<String, Content> unsyncableNames = new TreeMap<>();

  private final Map<Operation, Script> scripts = new EnumMap<>(Operation.class);
  private int tornWrite = HALF;
  private long left;
  private long steps;
  private boolean full;
  private int lied;

  /** An empty folder; this share of its syncs does nothing. */
  public FaultInjectingStorage(long seed, double lies) {
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

  /** Of this kind, {@code working} more operations work, and then {@code failing} fail. */
  public synchronized void fail(Operation operation, Errno errno, long working, long failing) {
    scripts.put(operation, new Script(errno, working, failing));
  }

  /** Nothing fails from here on as scripted. */
  public synchronized void heal() {
    scripts.clear();
    full = false;
  }

  /**
   * Of a write that fails as scripted, this many bytes are written; half of it if this is never
   * called.
   */
  public synchronized void tearWritesAt(int bytes) {
    tornWrite = bytes;
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

  private boolean failsNow(Operation operation) {
    Script script = scripts.get(operation);
    return script != null && script.failsNow();
  }

  private DiskFault fault(Operation operation) {
    return new DiskFault(operation, scripts.get(operation).errno);
  }

  private void attempt(Operation operation) throws IOException {
    step();
    if (failsNow(operation)) {
      throw fault(operation);
    }
  }

  /** Power is back: what a machine finds then. */
  public synchronized void powerUp() {
    left = Long.MAX_VALUE;
    Map<String, Content> found = new TreeMap<>(syncedNames);
    // Changes of names since the last sync of them: each has come to last or not.
    for (String name : names.keySet()) {
      if (syncedNames.get(name) != names.get(name) && chance.nextBoolean()) {
        found.put(name, names.get(name));
      }
    }
    found.keySet().removeIf(name -> !names.containsKey(name) && chance.nextBoolean());
    names.clear();
    names.putAll(found);
    syncedNames = new TreeMap<>(found);
    unsyncableNames.clear();
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
          // The length lasts, and a page of it does not: zeros, with what was written later behind
          // them.
          int from = content.synced.length + chance.nextInt(unsynced);
          Arrays.fill(all, from, from + chance.nextInt(all.length - from) + 1, (byte) 0);
        }
        default -> {}
      }
    }
    content.synced = all;
    content.unsynced.clear();
    content.syncFailed = false;
  }

  /** The process was killed and is started again: the system still has all that was written. */
  public synchronized void restartProcess() {
    left = Long.MAX_VALUE;
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
    attempt(Operation.CREATE);
    Content content = new Content();
    if (names.putIfAbsent(name, content) != null) {
      throw new IOException("exists: " + name);
    }
    return new Appender() {
      @Override
      public void append(byte[] bytes, int length) throws IOException {
        write(content, bytes, length);
      }

      @Override
      public void sync() throws IOException {
        FaultInjectingStorage.this.sync(content);
      }

      @Override
      public void close() {}
    };
  }

  private synchronized void write(Content content, byte[] bytes, int length) throws IOException {
    if (full) {
      content.unsynced.add(Arrays.copyOf(bytes, length / 2));
      throw new DiskFault(Operation.WRITE, Errno.ENOSPC);
    }
    if (failsNow(Operation.WRITE)) {
      content.unsynced.add(
          Arrays.copyOf(bytes, tornWrite == HALF ? length / 2 : Math.min(tornWrite, length)));
      step();
      throw fault(Operation.WRITE);
    }
    // Power may go in the middle of a write, with a part of it done.
    content.unsynced.add(Arrays.copyOf(bytes, length));
    step();
  }

  private synchronized void sync(Content content) throws IOException {
    step();
    if (failsNow(Operation.SYNC)) {
      content.syncFailed = true;
      throw fault(Operation.SYNC);
    }
    if (lies > 0 && chance.nextDouble() < lies) {
      lied++;
      return;
    }
    if (!content.syncFailed) {
      content.synced = content.now();
      content.unsynced.clear();
    }
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
  public synchronized void syncNames() throws IOException {
    step();
    if (failsNow(Operation.SYNC_NAMES)) {
      names.forEach(
          (name, content) -> {
            if (syncedNames.get(name) != content) {
              unsyncableNames.put(name, content);
            }
          });
      throw fault(Operation.SYNC_NAMES);
    }
    Map<String, Content> lasting = new TreeMap<>(names);
    unsyncableNames.forEach(
        (name, content) -> {
          if (lasting.get(name) == content) {
            lasting.remove(name);
            if (syncedNames.containsKey(name)) {
              lasting.put(name, syncedNames.get(name));
            }
          }
        });
    syncedNames = lasting;
  }
}
