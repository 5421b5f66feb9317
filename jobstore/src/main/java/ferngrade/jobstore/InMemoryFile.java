package ferngrade.jobstore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** A file of a {@link FaultInjectingStorage} with its synced content and its unsynced writes. */
final class InMemoryFile {
  private boolean syncFailed;
  private byte[] synced = new byte[0];
  private final List<byte[]> unsynced = new ArrayList<>();

  /** Returns the content with all unsynced writes, as a read before a power loss returns it. */
  byte[] content() {
    int length = synced.length + unsynced.stream().mapToInt(write -> write.length).sum();
    byte[] content = Arrays.copyOf(synced, length);
    int offset = synced.length;
    for (byte[] write : unsynced) {
      System.arraycopy(write, 0, content, offset, write.length);
      offset += write.length;
    }
    return content;
  }

  void append(byte[] bytes, int length) {
    unsynced.add(Arrays.copyOf(bytes, length));
  }

  /** Makes the content durable, unless a sync of this file has failed before. */
  void sync() {
    if (!syncFailed) {
      synced = content();
      unsynced.clear();
    }
  }

  /** Lets all later syncs succeed without making anything durable. */
  void failSync() {
    syncFailed = true;
  }

  /** Simulates a power loss: keeps a random part of the unsynced writes. */
  void losePower(SplittableRandom random) {
    int outcome = random.nextInt(4);
    byte[] content = content();
    if (content.length > synced.length) {
      content = afterPowerLoss(outcome, content, random);
    }
    synced = content;
    unsynced.clear();
    syncFailed = false;
  }

  private byte[] afterPowerLoss(int outcome, byte[] content, SplittableRandom random) {
    int lengthUnsynced = content.length - synced.length;
    switch (outcome) {
      case 0:
        return synced;
      case 1:
        return Arrays.copyOf(content, synced.length + random.nextInt(lengthUnsynced + 1));
      case 2:
        // The length is durable but a page is not: the page contains zeros, and later writes
        // follow.
        int from = synced.length + random.nextInt(lengthUnsynced);
        int until = from + random.nextInt(content.length - from) + 1;
        Arrays.fill(content, from, until, (byte) 0);
        return content;
      default:
        return content;
    }
  }

  /** Flips a random bit of the synced byte at an offset; returns false if there is none. */
  boolean flipBit(int offset, SplittableRandom random) {
    if (offset >= synced.length) {
      return false;
    }
    synced = synced.clone();
    synced[offset] ^= (byte) (1 << random.nextInt(8));
    return true;
  }
}
