package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A digest of everything that happened in a run, to the last bit of each time: the same run has the
 * same one.
 */
public final class TraceHash implements Observer {
  private final ByteBuffer buffer = ByteBuffer.allocate(1 << 13);
  private final MessageDigest digest;
  private long events;

  /** The digest of nothing. */
  public TraceHash() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private void note(int kind, double now, String text, long number, double value) {
    events++;
    int length = text.length();
    if (buffer.remaining() < 29 + length) {
      flush();
    }
    buffer.put((byte) kind).putDouble(now).putLong(number).putDouble(value).putInt(length);
    for (int i = 0; i < length; i++) {
      buffer.put((byte) text.charAt(i));
    }
  }

  /** The position of a constant in its enum, which is what the recorded traces hold. */
  @SuppressWarnings("EnumOrdinal") // the recorded form; TraceGoldenTest notices a moved constant
  private static int code(Enum<?> constant) {
    return constant.ordinal();
  }

  private void flush() {
    digest.update(buffer.flip());
    buffer.clear();
  }

  /** The digest in hexadecimal; ends the trace. */
  public String hex() {
    flush();
    return HexFormat.of().formatHex(digest.digest());
  }

  /** The events that went in. */
  public long events() {
    return events;
  }

  @Override
  public void due(double now, Request request) {
    note(1, now, request.id, request.jobClass * 64L + request.tenant, request.work);
  }

  @Override
  public void taken(double now, int node, Request request) {
    note(2, now, request.id, node, 0);
  }

  @Override
  public void lost(double now, Request request, String why) {
    note(3, now, request.id, 0, 0);
  }

  @Override
  public void answered(double now, int node, Request request, Answer answer, double retryAfter) {
    note(4, now, request.id, code(answer), retryAfter);
  }

  @Override
  public void ended(double now, Request request, Answer answer) {
    note(5, now, request.id, code(answer), 0);
  }

  @Override
  public void sent(double now, int node, EmulatedWorker worker, Request request) {
    note(6, now, request.id, worker.id, node);
  }

  @Override
  public void attemptOver(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    note(7, now, request.id, worker.id, code(outcome));
  }

  @Override
  public void started(double now, EmulatedWorker worker, String id) {
    note(8, now, id, worker.id, 0);
  }

  @Override
  public void told(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    note(9, now, worker.name, node * 8L + code(state), startedAt);
  }

  @Override
  public void fell(double now, EmulatedWorker worker, double informedShare) {
    note(10, now, worker.name, 0, informedShare);
  }

  @Override
  public void slice(double now, int node, double slots) {
    note(11, now, "", node, slots);
  }
}
