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
 * Bytes of values of a few classes, which members send each other or keep on disk. Only the classes
 * that are named can be read: bytes of strangers make no others. Belongs to one thread.
 *
 * <p>The order of the classes in each list is the format: new ones go to the end of theirs.
 */
public final class Codec {
  private static final int MOST = 16 << 20;

  /** How many classes a list may come to have. */
  private static final int ROOM = 100;

  private static final List<Class<?>> PLAIN =
      List.of(String.class, ArrayList.class, LinkedHashSet.class);

  private final Kryo kryo = new ListsAlike();
  private final Output output = new Output(4096, MOST);

  /**
   * A codec for plain lists and sets, texts, and values of these classes, each list of which can
   * grow by itself.
   */
  @SafeVarargs
  public Codec(List<Class<?>>... lists) {
    kryo.setRegistrationRequired(true);
    kryo.addDefaultSerializer(Collection.class, new Lists());
    PLAIN.forEach(kryo::register);
    for (int i = 0; i < lists.length; i++) {
      int number = (i + 1) * ROOM;
      for (Class<?> each : lists[i]) {
        kryo.register(each, number++);
      }
    }
  }

  /** The bytes of a value; one that holds any other class is a fault of the program. */
  public byte[] write(Object value) {
    output.reset();
    kryo.writeClassAndObject(output, value);
    return output.toBytes();
  }

  /** The value that these bytes are; bytes that are none end in an exception. */
  public Object read(byte[] bytes, int from, int length) throws IOException {
    try {
      return kryo.readClassAndObject(new Bounded(bytes, from, length));
    } catch (KryoException
        | IllegalArgumentException
        | IndexOutOfBoundsException
        | NegativeArraySizeException
        | ClassCastException
        | NullPointerException malformed) {
      throw new IOException("not a value of these classes: " + malformed.getMessage(), malformed);
    }
  }

  /**
   * A text cannot be longer than what is left to read: one that says so would be given the room
   * first.
   */
  private static final class Bounded extends Input {
    Bounded(byte[] bytes, int from, int length) {
      super(bytes, from, length);
    }

    @Override
    public String readString() {
      int at = position();
      if (readVarIntFlag() && readVarIntFlag(true) - 1 > limit() - position()) {
        throw new KryoException("a text is longer than the message");
      }
      setPosition(at);
      return super.readString();
    }
  }

  /** A list is given the room that its items need, not what a message says. */
  private static final class Lists extends CollectionSerializer<Collection<Object>> {
    @Override
    protected Collection<Object> create(
        Kryo kryo, Input input, Class<? extends Collection<Object>> type, int size) {
      return List.class.isAssignableFrom(type) ? new ArrayList<>() : new LinkedHashSet<>();
    }
  }

  /** Whatever kind of list or set a value holds comes back as one plain kind. */
  private static final class ListsAlike extends Kryo {
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
