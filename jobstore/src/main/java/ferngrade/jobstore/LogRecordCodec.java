package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes and decodes records: a type code, followed by the fields in order of declaration as
 * {@link DataOutputStream} writes them. In a batch, the length of each record precedes it (4
 * bytes).
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

  // The codes for the idempotency of a job; the code follows the job's id in a record.
  private static final int SAFE = 0;
  private static final int KEYED = 1;
  private static final int UNSAFE = 2;

  private LogRecordCodec() {}

  /** Encodes a batch with its frame; the content of the buffer is overwritten. */
  static byte[] encodeBatch(
      List<LogRecord> records, long batchNumber, ByteArrayOutputStream buffer) {
    buffer.reset();
    buffer.write(new byte[LogBatch.HEADER_BYTES], 0, LogBatch.HEADER_BYTES);
    ByteArrayOutputStream encoded = new ByteArrayOutputStream(256);
    for (LogRecord logRecord : records) {
      encoded.reset();
      write(logRecord, encoded);
      buffer.writeBytes(ByteBuffer.allocate(4).putInt(encoded.size()).array());
      buffer.writeBytes(encoded.toByteArray());
    }
    return LogBatch.frame(buffer.toByteArray(), batchNumber);
  }

  /** Encodes a record without its length. */
  static void write(LogRecord logRecord, ByteArrayOutputStream to) {
    try {
      writeFields(logRecord, new DataOutputStream(to));
    } catch (IOException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }

  private static void writeFields(LogRecord logRecord, DataOutputStream out) throws IOException {
    if (logRecord instanceof LogRecord.Accepted accepted) {
      writeAccepted(accepted, out);
    } else if (logRecord instanceof LogRecord.Leased leased) {
      writeStart(LEASED, leased, out);
      out.writeUTF(leased.worker());
      out.writeLong(leased.token());
      out.writeDouble(leased.atMillis());
    } else if (logRecord instanceof LogRecord.Started started) {
      writeStart(STARTED, started, out);
      out.writeLong(started.token());
      out.writeDouble(started.sinceMillis());
    } else if (logRecord instanceof LogRecord.Returned returned) {
      writeStart(RETURNED, returned, out);
      out.writeLong(returned.token());
      out.writeBoolean(returned.unstarted());
      out.writeDouble(returned.notBeforeMillis());
    } else if (logRecord instanceof LogRecord.Doubted doubted) {
      writeStart(DOUBTED, doubted, out);
      out.writeLong(doubted.token());
      out.writeDouble(doubted.sinceMillis());
    } else if (logRecord instanceof LogRecord.Ended ended) {
      writeEnded(ended, out);
    } else if (logRecord instanceof LogRecord.Forgotten forgotten) {
      writeStart(FORGOTTEN, forgotten, out);
    } else if (logRecord instanceof LogRecord.Tokens tokens) {
      out.writeByte(TOKENS);
      out.writeLong(tokens.highest());
    }
  }

  private static void writeStart(int type, LogRecord logRecord, DataOutputStream out)
      throws IOException {
    out.writeByte(type);
    out.writeUTF(logRecord.id());
  }

  private static void writeAccepted(LogRecord.Accepted accepted, DataOutputStream out)
      throws IOException {
    writeStart(ACCEPTED, accepted, out);
    out.writeByte(idempotencyCode(accepted.idempotency()));
    out.writeUTF(accepted.idempotencyKey());
    out.writeDouble(accepted.windowMillis());
    out.writeInt(accepted.attempts());
    out.writeDouble(accepted.atMillis());
    out.writeInt(accepted.payload().length);
    out.write(accepted.payload());
  }

  private static void writeEnded(LogRecord.Ended ended, DataOutputStream out) throws IOException {
    writeStart(ENDED, ended, out);
    out.writeLong(ended.token());
    out.writeBoolean(ended.done());
    byte[] result = ended.result().getBytes(StandardCharsets.UTF_8);
    out.writeInt(result.length);
    out.write(result);
    out.writeDouble(ended.atMillis());
  }

  /** Decodes a record; throws an {@link IOException} if the bytes are not a valid record. */
  static LogRecord read(byte[] bytes, int offset, int length) throws IOException {
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes, offset, length));
    int type = in.readUnsignedByte();
    return switch (type) {
      case ACCEPTED ->
          new LogRecord.Accepted(
              in.readUTF(),
              idempotency(in.readUnsignedByte()),
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
      default -> throw new IOException("unknown record type " + type);
    };
  }

  private static int idempotencyCode(Idempotency idempotency) {
    return switch (idempotency) {
      case SAFE -> SAFE;
      case KEYED -> KEYED;
      case UNSAFE -> UNSAFE;
    };
  }

  private static Idempotency idempotency(int code) throws IOException {
    return switch (code) {
      case SAFE -> Idempotency.SAFE;
      case KEYED -> Idempotency.KEYED;
      case UNSAFE -> Idempotency.UNSAFE;
      default -> throw new IOException("unknown idempotency code " + code);
    };
  }
}
