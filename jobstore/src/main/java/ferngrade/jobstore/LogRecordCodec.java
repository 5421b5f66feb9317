package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Entries as bytes: a type, then its fields in their order, in the forms of {@link
 * DataOutputStream}.
 */
final class LogRecordCodec {
  private static final int ACCEPTED = 1;
  private static final int LEASED = 2;
  private static final int STARTED = 3;
  private static final int RETURNED = 4;
  private static final int DOUBTED = 5;
  private static final int ENDED = 6;
  private static final int FORGOTTEN = 7;
  private static final int TOKENS = 8;

  // The codes of a job's effect, after its id.
  private static final int SAFE = 0;
  private static final int KEYED = 1;
  private static final int UNSAFE = 2;

  private LogRecordCodec() {}

  static void write(LogRecord entry, ByteArrayOutputStream to) {
    DataOutputStream out = new DataOutputStream(to);
    try {
      if (entry instanceof LogRecord.Accepted e) {
        out.writeByte(ACCEPTED);
        out.writeUTF(e.id());
        out.writeByte(effectCode(e.effect()));
        out.writeUTF(e.key());
        out.writeDouble(e.window());
        out.writeInt(e.attempts());
        out.writeDouble(e.at());
        out.writeInt(e.payload().length);
        out.write(e.payload());
      } else if (entry instanceof LogRecord.Leased e) {
        out.writeByte(LEASED);
        out.writeUTF(e.id());
        out.writeUTF(e.worker());
        out.writeLong(e.token());
        out.writeDouble(e.at());
      } else if (entry instanceof LogRecord.Started e) {
        out.writeByte(STARTED);
        out.writeUTF(e.id());
        out.writeLong(e.token());
        out.writeDouble(e.since());
      } else if (entry instanceof LogRecord.Returned e) {
        out.writeByte(RETURNED);
        out.writeUTF(e.id());
        out.writeLong(e.token());
        out.writeBoolean(e.unstarted());
        out.writeDouble(e.notBefore());
      } else if (entry instanceof LogRecord.Doubted e) {
        out.writeByte(DOUBTED);
        out.writeUTF(e.id());
        out.writeLong(e.token());
        out.writeDouble(e.since());
      } else if (entry instanceof LogRecord.Ended e) {
        out.writeByte(ENDED);
        out.writeUTF(e.id());
        out.writeLong(e.token());
        out.writeBoolean(e.done());
        byte[] result = e.result().getBytes(StandardCharsets.UTF_8);
        out.writeInt(result.length);
        out.write(result);
        out.writeDouble(e.at());
      } else if (entry instanceof LogRecord.Forgotten e) {
        out.writeByte(FORGOTTEN);
        out.writeUTF(e.id());
      } else if (entry instanceof LogRecord.Tokens e) {
        out.writeByte(TOKENS);
        out.writeLong(e.highest());
      }
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  /** Reads one entry; an {@link IOException} says that these bytes hold none. */
  static LogRecord read(byte[] bytes, int offset, int length) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, offset, length));
    int type = in.readUnsignedByte();
    return switch (type) {
      case ACCEPTED ->
          new LogRecord.Accepted(
              in.readUTF(),
              effect(in.readUnsignedByte()),
              in.readUTF(),
              in.readDouble(),
              in.readInt(),
              in.readDouble(),
              in.readNBytes(in.readInt()));
      case LEASED ->
          new LogRecord.Leased(in.readUTF(), in.readUTF(), in.readLong(), in.readDouble());
      case STARTED -> new LogRecord.Started(in.readUTF(), in.readLong(), in.readDouble());
      case RETURNED ->
          new LogRecord.Returned(in.readUTF(), in.readLong(), in.readBoolean(), in.readDouble());
      case DOUBTED -> new LogRecord.Doubted(in.readUTF(), in.readLong(), in.readDouble());
      case ENDED ->
          new LogRecord.Ended(
              in.readUTF(),
              in.readLong(),
              in.readBoolean(),
              new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8),
              in.readDouble());
      case FORGOTTEN -> new LogRecord.Forgotten(in.readUTF());
      case TOKENS -> new LogRecord.Tokens(in.readLong());
      default -> throw new IOException("no entry has the type " + type);
    };
  }

  private static int effectCode(Idempotency effect) {
    return switch (effect) {
      case SAFE -> SAFE;
      case KEYED -> KEYED;
      case UNSAFE -> UNSAFE;
    };
  }

  private static Idempotency effect(int code) throws IOException {
    return switch (code) {
      case SAFE -> Idempotency.SAFE;
      case KEYED -> Idempotency.KEYED;
      case UNSAFE -> Idempotency.UNSAFE;
      default -> throw new IOException("no class has the effect " + code);
    };
  }
}
