package ferngrade.codec;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Registration;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Converts values of a fixed set of classes to bytes and back, for messages between members and for
 * stored files. Bytes from an untrusted sender can create only values of the registered classes.
 * Confined to one thread.
 *
 * <p>The order of the classes in each list defines the format: new classes are appended to their
 * list.
 */
public final class Codec {
  private static final int MAX_VALUE_BYTES = 16 << 20;

  /** The number of class ids reserved for each list. */
  private static final int IDS_PER_LIST = 100;

  private static final List<Class<?>> BUILT_IN_CLASSES =
      List.of(String.class, ArrayList.class, LinkedHashSet.class);

  private final Kryo kryo = new CollectionNormalizingKryo();
  private final Output output = new Output(4096, MAX_VALUE_BYTES);

  /**
   * Creates a codec for lists, sets, strings, and values of these classes. Each list of classes can
   * grow without changing the ids of the others.
   */
  @SafeVarargs
  public Codec(List<Class<?>>... lists) {
    kryo.setRegistrationRequired(true);
    kryo.addDefaultSerializer(Collection.class, new CollectionReader());
    BUILT_IN_CLASSES.forEach(kryo::register);
    for (int i = 0; i < lists.length; i++) {
      int id = (i + 1) * IDS_PER_LIST;
      for (Class<?> type : lists[i]) {
        kryo.register(type, id++);
      }
    }
  }

  /**
   * Encodes a value; throws an {@link IllegalArgumentException} if the value contains an
   * unregistered class.
   */
  public byte[] write(Object value) {
    output.reset();
    kryo.writeClassAndObject(output, value);
    return output.toBytes();
  }

  /** Decodes a value; throws an {@link IOException} if the bytes do not encode one. */
  public Object read(byte[] bytes, int offset, int length) throws IOException {
    try {
      return kryo.readClassAndObject(new LengthCheckingInput(bytes, offset, length));
    } catch (KryoException
        | IllegalArgumentException
        | IndexOutOfBoundsException
        | NegativeArraySizeException
        | ClassCastException
        | NullPointerException malformed) {
      throw new IOException(
          "not a value of the registered classes: " + malformed.getMessage(), malformed);
    }
  }

  /**
   * Rejects a string whose declared length exceeds the remaining bytes, before Kryo allocates
   * memory for that length.
   */
  private static final class LengthCheckingInput extends Input {
    LengthCheckingInput(byte[] bytes, int offset, int length) {
      super(bytes, offset, length);
    }

    @Override
    public String readString() {
      int start = position();
      if (readVarIntFlag() && readVarIntFlag(true) - 1 > limit() - position()) {
        throw new KryoException("a string is longer than the message");
      }
      setPosition(start);
      return super.readString();
    }
  }

  /**
   * Creates collections without the declared size, so that memory is allocated only for items that
   * are present.
   */
  private static final class CollectionReader extends CollectionSerializer<Collection<Object>> {
    @Override
    protected Collection<Object> create(
        Kryo kryo, Input input, Class<? extends Collection<Object>> type, int size) {
      return List.class.isAssignableFrom(type) ? new ArrayList<>() : new LinkedHashSet<>();
    }
  }

  /**
   * Encodes every list as an {@link ArrayList} and every other collection as a {@link
   * LinkedHashSet}.
   */
  private static final class CollectionNormalizingKryo extends Kryo {
    @Override
    @SuppressWarnings({"rawtypes", "unchecked"})
    public Registration getRegistration(Class type) {
      if (List.class.isAssignableFrom(type)) {
        return super.getRegistration(ArrayList.class);
      }
      return super.getRegistration(
          Collection.class.isAssignableFrom(type) ? LinkedHashSet.class : type);
    }
  }
}
