package ferngrade.jobstore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/** A file of a {@link FaultInjectingStorage}: what was synced, and what was written since. */
final class InMemoryFile {
  private boolean syncFailed;
  private byte[] synced = new byte[0];
  private final List<byte[]> unsynced = new ArrayList<>();

  /** The content as the process that wrote it reads it. */
  byte[] content() {
    int length = synced.length + unsynced.stream().mapToInt(each -> each.length).sum();
    byte[] content = Arrays.copyOf(synced, length);
    int at = synced.length;
    for (byte[] each : unsynced) {
      System.arraycopy(each, 0, content, at, each.length);
      at += each.length;
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

  /** From here on no sync makes anything durable. */
  void failSync() {
    syncFailed = true;
  }

  /** Draws what is left of the unsynced part after a loss of power. */
  void losePower(SplittableRandom random) {
    int kind = random.nextInt(4);
    byte[] content = content();
    if (content.length > synced.length) {
      content = afterPowerLoss(kind, content, random);
    }
    synced = content;
    unsynced.clear();
    syncFailed = false;
  }

  private byte[] afterPowerLoss(int kind, byte[] content, SplittableRandom random) {
    int lengthUnsynced = content.length - synced.length;
    switch (kind) {
      case 0:
        return synced;
      case 1:
        return Arrays.copyOf(content, synced.length + random.nextInt(lengthUnsynced + 1));
      case 2:
        // The length is durable, and a page is not: zeros, followed by what was written later.
        int from = synced.length + random.nextInt(lengthUnsynced);
        int until = from + random.nextInt(content.length - from) + 1;
        Arrays.fill(content, from, until, (byte) 0);
        return content;
      default:
        return content;
    }
  }

  /** Flips one random bit of a synced byte; false if there is no such byte. */
  boolean flipBit(int offset, SplittableRandom random) {
    if (offset >= synced.length) {
      return false;
    }
    synced = synced.clone();
    synced[offset] ^= (byte) (1 << random.nextInt(8));
    return true;
  }
}
