package ferngrade.emulator;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.WorkerState;
import ferngrade.emulator.Request.Answer;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Computes a digest of all observed events of a run, including the exact bits of each time. Equal
 * runs have equal digests.
 */
public final class TraceHash implements Observer {
  private final ByteBuffer buffer = ByteBuffer.allocate(1 << 13);
  private final MessageDigest digest;
  private long eventCount;

  /** Creates the digest of an empty trace. */
  public TraceHash() {
    try {
      digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }

  private void record(int eventType, double now, String text, long number, double value) {
    eventCount++;
    int length = text.length();
    if (buffer.remaining() < 29 + length) {
      flush();
    }
    buffer.put((byte) eventType).putDouble(now).putLong(number).putDouble(value).putInt(length);
    for (int i = 0; i < length; i++) {
      buffer.put((byte) text.charAt(i));
    }
  }

  /** Returns the ordinal of a constant. Traces record constants by their ordinals. */
  @SuppressWarnings("EnumOrdinal") // TraceGoldenTest fails if a constant is moved
  private static int ordinalOf(Enum<?> constant) {
    return constant.ordinal();
  }

  private void flush() {
    digest.update(buffer.flip());
    buffer.clear();
  }

  /** Ends the trace and returns its digest in hexadecimal. */
  public String hex() {
    flush();
    return HexFormat.of().formatHex(digest.digest());
  }

  /** Returns the number of events in the trace. */
  public long eventCount() {
    return eventCount;
  }

  @Override
  public void requestDue(double now, Request request) {
    record(1, now, request.id, request.jobClass * 64L + request.tenant, request.work);
  }

  @Override
  public void requestAccepted(double now, int node, Request request) {
    record(2, now, request.id, node, 0);
  }

  @Override
  public void requestLost(double now, Request request, String reason) {
    record(3, now, request.id, 0, 0);
  }

  @Override
  public void requestAnswered(
      double now, int node, Request request, Answer answer, double retryAfter) {
    record(4, now, request.id, ordinalOf(answer), retryAfter);
  }

  @Override
  public void requestEnded(double now, Request request, Answer answer) {
    record(5, now, request.id, ordinalOf(answer), 0);
  }

  @Override
  public void attemptSent(double now, int node, EmulatedWorker worker, Request request) {
    record(6, now, request.id, worker.id, node);
  }

  @Override
  public void attemptEnded(
      double now, int node, EmulatedWorker worker, Request request, AttemptOutcome outcome) {
    record(7, now, request.id, worker.id, ordinalOf(outcome));
  }

  @Override
  public void jobStarted(double now, EmulatedWorker worker, String id) {
    record(8, now, id, worker.id, 0);
  }

  @Override
  public void workerListed(
      double now, int node, EmulatedWorker worker, WorkerState state, double startedAt) {
    record(9, now, worker.name, node * 8L + ordinalOf(state), startedAt);
  }

  @Override
  public void coldWorkerCrashed(double now, EmulatedWorker worker, double informedShare) {
    record(10, now, worker.name, 0, informedShare);
  }

  @Override
  public void sliceSampled(double now, int node, double slots) {
    record(11, now, "", node, slots);
  }
}
