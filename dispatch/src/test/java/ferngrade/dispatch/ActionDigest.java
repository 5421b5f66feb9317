package ferngrade.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes a digest of the actions requested by a dispatcher. The digest covers their order and
 * every bit of each number.
 */
final class ActionDigest {
  private static final int FIXED_LENGTH = 2 * Integer.BYTES + Long.BYTES + Double.BYTES;

  private final MessageDigest digest;

  ActionDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Adds an action: its type, the id or message that it refers to, and its numbers. */
  void add(int actionType, String subject, long number, double value) {
    byte[] encodedSubject = subject.getBytes(StandardCharsets.UTF_8);
    digest.update(
        ByteBuffer.allocate(FIXED_LENGTH)
            .putInt(actionType)
            .putInt(encodedSubject.length)
            .putLong(number)
            .putDouble(value)
            .flip());
    digest.update(encodedSubject);
  }

  /** Returns the digest in hexadecimal. No action can be added afterwards. */
  String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
