package ferngrade.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/**
 * Guards against values that change when encoded and decoded, and against malformed bytes that
 * cause an unexpected exception.
 */
class CodecTest {
  /** A value with a string, a number and a list. */
  private record Named(String name, long number, List<String> items) {}

  private final Codec codec = new Codec(List.of(Named.class));

  @Test
  void decodesWhatWasEncoded() throws IOException {
    Named value = new Named("a", -3, List.of("x", ""));
    byte[] bytes = codec.write(value);
    assertEquals(value, codec.read(bytes, 0, bytes.length));
    assertThrows(IOException.class, () -> codec.read(bytes, 0, bytes.length - 1));
    assertThrows(IllegalArgumentException.class, () -> codec.write(new BitSet()));
  }

  @Property
  void arbitraryBytesDecodeToValueOrIoException(@ForAll byte[] bytes) {
    try {
      codec.read(bytes, 0, bytes.length);
    } catch (IOException malformed) {
      assertEquals(IOException.class, malformed.getClass());
    }
  }
}
