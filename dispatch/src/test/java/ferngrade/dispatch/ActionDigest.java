package ferngrade.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of the actions that a dispatcher asked for, in their order and to the last bit of each
 * number.
 */
final class ActionDigest {
  private static final int NUMBERS = 2 * Integer.BYTES + Long.BYTES + Double.BYTES;

  private final MessageDigest digest;

  ActionDigest() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  /** Takes an action: its kind, what it is about, and its numbers. */
  void add(int kind, String about, long number, double value) {
    byte[] text = about.getBytes(StandardCharsets.UTF_8);
    digest.update(
        ByteBuffer.allocate(NUMBERS)
            .putInt(kind)
            .putInt(text.length)
            .putLong(number)
            .putDouble(value)
            .flip());
    digest.update(text);
  }

  /** The digest in hexadecimal; ends it. */
  String hex() {
    return HexFormat.of().formatHex(digest.digest());
  }
}
