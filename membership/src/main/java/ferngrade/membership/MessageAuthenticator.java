package ferngrade.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;

/**
 * Proves who sent a message: a tag by a key that all members share (HMAC-SHA-256, 128 bits of it),
 * over the fleet's name, the processes of both ends and a number that counts up. Two keys count at
 * a time, the first one signs. What was sent to another process, or came before, is refused; so a
 * message that somebody kept does nothing later, also not after a restart of the one that it was
 * for.
 *
 * <p>Who has not heard yet which process is at the other end sends to none in particular; the other
 * end then says which it is, and the message goes out again. Only who has a key is answered at all.
 * Without keys nothing is proved, and only the fleet's name and the ends are looked at.
 *
 * <p>Belongs to one thread.
 */
public final class MessageAuthenticator {
  private static final byte WORD = 1;
  private static final byte WHO = 2;
  private static final int HEADER = 1 + 3 * Long.BYTES;
  private static final int TAG = 16;
  private static final int MOST_ENDS = 20_000;
  private static final int MOST_KEPT = 4_096;

  /** The bytes that a message takes beside what it carries. */
  public static final int BYTES = HEADER + TAG;

  private final byte[] fleet;
  private final List<HmacUtils> keys;
  private final long run;
  private final Map<String, End> ends = bounded();
  private final Map<Long, ReplayWindow> windows = bounded();
  private long number;

  /** The other end as far as it is known: its process, 0 for none, and what was sent to it last. */
  private static final class End {
    long run;
    long number;
    byte[] last;
  }

  /** What became of a message. */
  public enum Verdict {
    /** It is what it says it is, and comes for the first time. */
    TAKEN,
    /**
     * The other end has said which process it is, or was told so: there may be a message to send
     * it.
     */
    GREETED,
    /** It has no tag by a key that counts, or none of this fleet. */
    FORGED,
    /** It came before, or is too old to tell. */
    REPLAYED
  }

  /**
   * A message as it was opened: its content if it was taken, and what to send back, null for
   * nothing.
   */
  public record Opened(Verdict verdict, byte[] content, byte[] answer) {}

  /** For a process of a fleet's member; {@code run}, not 0, is the process and no other. */
  public MessageAuthenticator(String fleet, List<byte[]> keys, long run) {
    this.fleet = fleet.getBytes(StandardCharsets.UTF_8);
    this.keys =
        (keys.isEmpty() ? List.of(this.fleet) : keys)
            .stream().map(key -> new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key)).toList();
    this.run = run;
  }

  private static <K, V> Map<K, V> bounded() {
    return new LinkedHashMap<>(64, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MOST_ENDS;
      }
    };
  }

  /** Closes a message to an end, which has any name that stays the same. */
  public byte[] close(String to, byte[] content) {
    End end = ends.computeIfAbsent(to, key -> new End());
    end.number = ++number;
    // It may have to go out again, if another process is there than was thought.
    end.last = content.length <= MOST_KEPT ? content : null;
    return frame(WORD, end.run, end.number, content);
  }

  private byte[] frame(byte kind, long to, long counted, byte[] content) {
    byte[] all =
        ByteBuffer.allocate(HEADER + content.length + TAG)
            .put(kind)
            .putLong(run)
            .putLong(to)
            .putLong(counted)
            .put(content)
            .array();
    System.arraycopy(tag(keys.get(0), all), 0, all, all.length - TAG, TAG);
    return all;
  }

  private byte[] tag(HmacUtils key, byte[] frame) {
    byte[] signed = new byte[fleet.length + 1 + frame.length - TAG];
    System.arraycopy(fleet, 0, signed, 0, fleet.length);
    System.arraycopy(frame, 0, signed, fleet.length + 1, frame.length - TAG);
    return Arrays.copyOf(key.hmac(signed), TAG);
  }

  private boolean genuine(byte[] frame) {
    byte[] tag = Arrays.copyOfRange(frame, frame.length - TAG, frame.length);
    return keys.stream().anyMatch(key -> MessageDigest.isEqual(tag, tag(key, frame)));
  }

  /** Opens a message; {@code from} is the end it came from, null if that is not known. */
  public Opened open(String from, byte[] frame) {
    if (frame.length < BYTES || !genuine(frame)) {
      return new Opened(Verdict.FORGED, null, null);
    }
    ByteBuffer in = ByteBuffer.wrap(frame);
    byte kind = in.get();
    long sender = in.getLong();
    long to = in.getLong();
    long counted = in.getLong();
    if (kind == WHO) {
      return greeted(from, sender, to, counted);
    }
    if (to != run) {
      return new Opened(Verdict.GREETED, null, frame(WHO, sender, counted, new byte[0]));
    }
    if (!windows.computeIfAbsent(sender, key -> new ReplayWindow()).first(counted)) {
      return new Opened(Verdict.REPLAYED, null, null);
    }
    if (from != null) {
      ends.computeIfAbsent(from, key -> new End()).run = sender;
    }
    return new Opened(Verdict.TAKEN, Arrays.copyOfRange(frame, HEADER, frame.length - TAG), null);
  }

  /**
   * The other end says which process it is, in answer to the last message alone: an older answer
   * may be kept by others.
   */
  private Opened greeted(String from, long sender, long to, long answered) {
    End end = from == null ? null : ends.get(from);
    if (to != run
        || end == null
        || end.last == null
        || end.number != answered
        || end.run == sender) {
      return new Opened(Verdict.REPLAYED, null, null);
    }
    end.run = sender;
    return new Opened(Verdict.GREETED, null, close(from, end.last));
  }
}
