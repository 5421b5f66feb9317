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
 * Authenticates the sender of each message with a tag: HMAC-SHA-256, truncated to 128 bits, under a
 * key that all members share. The tag covers the fleet's name, the ids of the sending and receiving
 * processes, and a sequence number. Two keys are accepted at a time, so that keys can be rotated;
 * the first one signs. Messages that were sent to another process or were received before are
 * rejected. A recorded message is therefore useless later, even after the receiver has restarted.
 *
 * <p>A sender that does not know the id of the receiving process yet sends to id 0. The receiver
 * then answers with its own id, and the sender transmits the message again. Only holders of a key
 * receive an answer. Without keys, messages are not authenticated; only the fleet's name and the
 * process ids are checked.
 *
 * <p>Confined to one thread.
 */
public final class MessageAuthenticator {
  private static final byte TYPE_CONTENT = 1;
  private static final byte TYPE_PROCESS_ID = 2;
  private static final int HEADER_BYTES = 1 + 3 * Long.BYTES;
  private static final int TAG_BYTES = 16;
  private static final int MAX_ENDPOINTS = 20_000;
  private static final int MAX_RETAINED_BYTES = 4_096;

  /** The overhead of a sealed message over its content, bytes. */
  public static final int OVERHEAD_BYTES = HEADER_BYTES + TAG_BYTES;

  private final byte[] fleet;
  private final List<HmacUtils> keys;
  private final long processId;
  private final Map<String, Endpoint> endpoints = boundedMap();
  private final Map<Long, ReplayWindow> windows = boundedMap();
  private long sequence;

  /**
   * The state of a remote endpoint: the id of its process, 0 if unknown, and the last message sent
   * to it, null if it was too long to retain.
   */
  private static final class Endpoint {
    long processId;
    long sequence;
    byte[] lastContent;
  }

  /** The result of the check of a message. */
  public enum Verdict {
    /** The message is authentic and was not received before. */
    TAKEN,
    /**
     * No message is delivered, because the two processes are still exchanging their process ids.
     * Either the remote process has sent its id, or this process answers with its own id. If the
     * result contains an answer, the caller must send it.
     */
    GREETED,
    /** The message has no tag of this fleet under an accepted key. */
    FORGED,
    /** The message was received before, or is too old to decide whether it was. */
    REPLAYED
  }

  /**
   * The result of {@link #unseal}. {@code content} is null unless the message was accepted; {@code
   * answer} is the answer to send, null if there is none.
   */
  public record UnsealResult(Verdict verdict, byte[] content, byte[] answer) {}

  /**
   * Creates the authenticator of one process of a fleet's member; {@code processId} is unique to
   * the process and not 0.
   */
  public MessageAuthenticator(String fleet, List<byte[]> keys, long processId) {
    this.fleet = fleet.getBytes(StandardCharsets.UTF_8);
    this.keys =
        (keys.isEmpty() ? List.of(this.fleet) : keys)
            .stream().map(key -> new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key)).toList();
    this.processId = processId;
  }

  private static <K, V> Map<K, V> boundedMap() {
    return new LinkedHashMap<>(64, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
        return size() > MAX_ENDPOINTS;
      }
    };
  }

  /** Seals a message to an endpoint, which is identified by any stable name. */
  public byte[] seal(String to, byte[] content) {
    Endpoint endpoint = endpoints.computeIfAbsent(to, key -> new Endpoint());
    endpoint.sequence = ++sequence;
    // The message is sent again if the process at the endpoint is not the expected one.
    endpoint.lastContent = content.length <= MAX_RETAINED_BYTES ? content : null;
    return frame(TYPE_CONTENT, endpoint.processId, endpoint.sequence, content);
  }

  private byte[] frame(byte type, long to, long sequence, byte[] content) {
    byte[] frame =
        ByteBuffer.allocate(HEADER_BYTES + content.length + TAG_BYTES)
            .put(type)
            .putLong(processId)
            .putLong(to)
            .putLong(sequence)
            .put(content)
            .array();
    System.arraycopy(tag(keys.get(0), frame), 0, frame, frame.length - TAG_BYTES, TAG_BYTES);
    return frame;
  }

  private byte[] tag(HmacUtils key, byte[] frame) {
    byte[] signed = new byte[fleet.length + 1 + frame.length - TAG_BYTES];
    System.arraycopy(fleet, 0, signed, 0, fleet.length);
    System.arraycopy(frame, 0, signed, fleet.length + 1, frame.length - TAG_BYTES);
    return Arrays.copyOf(key.hmac(signed), TAG_BYTES);
  }

  private boolean hasValidTag(byte[] frame) {
    byte[] tag = Arrays.copyOfRange(frame, frame.length - TAG_BYTES, frame.length);
    return keys.stream().anyMatch(key -> MessageDigest.isEqual(tag, tag(key, frame)));
  }

  /**
   * Checks and unseals a message; {@code from} is the endpoint that it came from, null if unknown.
   */
  public UnsealResult unseal(String from, byte[] frame) {
    if (frame.length < OVERHEAD_BYTES || !hasValidTag(frame)) {
      return new UnsealResult(Verdict.FORGED, null, null);
    }
    ByteBuffer input = ByteBuffer.wrap(frame);
    byte type = input.get();
    long sender = input.getLong();
    long to = input.getLong();
    long sequence = input.getLong();
    if (type == TYPE_PROCESS_ID) {
      return handleProcessId(from, sender, to, sequence);
    }
    if (to != processId) {
      return new UnsealResult(
          Verdict.GREETED, null, frame(TYPE_PROCESS_ID, sender, sequence, new byte[0]));
    }
    if (!windows.computeIfAbsent(sender, key -> new ReplayWindow()).accept(sequence)) {
      return new UnsealResult(Verdict.REPLAYED, null, null);
    }
    if (from != null) {
      endpoints.computeIfAbsent(from, key -> new Endpoint()).processId = sender;
    }
    return new UnsealResult(
        Verdict.TAKEN, Arrays.copyOfRange(frame, HEADER_BYTES, frame.length - TAG_BYTES), null);
  }

  /**
   * Handles the process id sent by a remote process. Only an answer to the last message is
   * accepted, because an older answer may be a replay.
   */
  private UnsealResult handleProcessId(String from, long sender, long to, long answeredSequence) {
    Endpoint endpoint = from == null ? null : endpoints.get(from);
    if (to != processId
        || endpoint == null
        || endpoint.lastContent == null
        || endpoint.sequence != answeredSequence
        || endpoint.processId == sender) {
      return new UnsealResult(Verdict.REPLAYED, null, null);
    }
    endpoint.processId = sender;
    return new UnsealResult(Verdict.GREETED, null, seal(from, endpoint.lastContent));
  }
}
