package ferngrade.http;

import ferngrade.node.MemoryBudget;
import ferngrade.node.Timers;
import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Consumer;

/**
 * Another process of this node, with one connection to it that is kept open between calls. The
 * first call requests a persistent connection, and later calls wait for its answer. If the other
 * process keeps the connection open, the calls are pipelined on it. A process of an earlier release
 * closes the connection, and then each call opens its own connection. Confined to the event loop.
 */
final class UpgradePeer implements PeerConnection.Owner {
  /**
   * The maximum number of calls held for one process, queued or unanswered on the persistent
   * connection.
   */
  static final int MAX_CALLS = 1024;

  /** The maximum total size of the bodies of the calls held for one process, in bytes. */
  static final int MAX_BYTES = 1 << 20;

  private final InetSocketAddress address;
  private final Dialer dialer;
  private final Timers timers;
  private final MemoryBudget memory;
  private final Consumer<UpgradePeer> whenRefused;
  private final Queue<PeerCall> queued = new ArrayDeque<>();
  private State state = State.DISCONNECTED;
  private int pendingCalls;
  private int pendingBytes;

  /** The connection that is being negotiated or kept open; null in the other states. */
  private PeerConnection connection;

  private enum State {
    /** There is no connection; the next call opens one. */
    DISCONNECTED,
    /** A connection is being opened; calls are queued. */
    DIALLING,
    /** The first call on the connection is unanswered; the other calls are queued. */
    ASKING,
    /** The process keeps the connection open; calls are pipelined. */
    KEPT,
    /** The process closes each connection after one answer; each call opens its own connection. */
    CONNECTION_PER_CALL,
    /** The process has ended or was removed from the list of peers; calls fail at once. */
    FORGOTTEN
  }

  /**
   * Creates a peer at this address; {@code dialer} adds a {@link PeerConnection} to each pipeline.
   */
  UpgradePeer(
      InetSocketAddress address,
      Dialer dialer,
      Timers timers,
      MemoryBudget memory,
      Consumer<UpgradePeer> whenRefused) {
    this.address = address;
    this.dialer = dialer;
    this.timers = timers;
    this.memory = memory;
    this.whenRefused = whenRefused;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Makes a call. If the limits are exceeded, the call ends at once without an answer. */
  void send(PeerCall call) {
    if (state == State.FORGOTTEN
        || pendingCalls >= MAX_CALLS
        || pendingBytes + call.bodySize() > MAX_BYTES
        || !memory.tryReserve(MemoryBudget.Use.RELAYS, call.bodySize())) {
      call.end(PeerCall.NO_ANSWER);
      return;
    }
    pendingCalls++;
    pendingBytes += call.bodySize();
    call.setTimer(timers.after(call.timeout(), () -> timedOut(call)));
    queued.add(call);
    sendQueued();
  }

  /**
   * Closes the connection and ends all calls without an answer. Further calls of this method have
   * no effect.
   */
  void close() {
    if (state == State.FORGOTTEN) {
      return;
    }
    state = State.FORGOTTEN;
    List<PeerCall> pending = new ArrayList<>();
    if (connection != null) {
      pending.addAll(connection.close());
      connection = null;
    }
    pending.addAll(queued);
    queued.clear();
    pending.forEach(this::release);
    pending.forEach(call -> call.end(PeerCall.NO_ANSWER));
  }

  private void timedOut(PeerCall call) {
    if (queued.remove(call)) {
      release(call);
    }
    call.end(PeerCall.NO_ANSWER);
  }

  /** Removes a call from the counts of pending calls. */
  private void release(PeerCall call) {
    pendingCalls--;
    pendingBytes -= call.bodySize();
    memory.release(MemoryBudget.Use.RELAYS, call.bodySize());
  }

  /** Sends the queued calls as far as the state allows. */
  private void sendQueued() {
    if (state == State.DISCONNECTED && !queued.isEmpty()) {
      state = State.DIALLING;
      PeerCall first = queued.element();
      dialer.dial(address, first.timeout(), new Dial(first));
    }
    while (state == State.KEPT && !queued.isEmpty()) {
      connection.write(queued.remove(), HttpHeaderValues.KEEP_ALIVE);
    }
    while (state == State.CONNECTION_PER_CALL && !queued.isEmpty()) {
      PeerCall call = queued.remove();
      release(call);
      new SingleCallDial(call, () -> whenRefused.accept(this)).dial(dialer, address);
    }
  }

  // ---- The persistent connection ----

  @Override
  public void answered(PeerCall call, int status) {
    state = State.KEPT;
    release(call);
    call.end(status);
    sendQueued();
  }

  @Override
  public void answeredAndClosed(PeerCall call, int status, List<PeerCall> unanswered) {
    boolean closesAlways = state == State.ASKING && status != HttpResponseStatus.BAD_REQUEST.code();
    state = closesAlways ? State.CONNECTION_PER_CALL : State.DISCONNECTED;
    connection = null;
    release(call);
    List<PeerCall> failed = requeue(unanswered);
    call.end(status);
    endUnanswered(failed);
  }

  @Override
  public void connectionLost(List<PeerCall> unanswered) {
    boolean kept = state == State.KEPT;
    state = State.DISCONNECTED;
    connection = null;
    if (kept) {
      endUnanswered(requeue(unanswered));
    } else {
      unanswered.forEach(this::release);
      endUnanswered(unanswered);
    }
  }

  /**
   * Puts the unanswered calls of an ended persistent connection in front of the calls already
   * queued.
   *
   * @return the calls that must not be retried
   */
  private List<PeerCall> requeue(List<PeerCall> unanswered) {
    List<PeerCall> alreadyQueued = List.copyOf(queued);
    queued.clear();
    List<PeerCall> failed = new ArrayList<>();
    for (PeerCall call : unanswered) {
      if (call.tryRetry()) {
        queued.add(call);
      } else {
        release(call);
        failed.add(call);
      }
    }
    queued.addAll(alreadyQueued);
    return failed;
  }

  private void endUnanswered(List<PeerCall> calls) {
    calls.forEach(call -> call.end(PeerCall.NO_ANSWER));
    sendQueued();
  }

  /** The dial of the persistent connection; its failure ends the first call. */
  private final class Dial implements Dialer.Listener {
    private final PeerCall first;

    Dial(PeerCall first) {
      this.first = first;
    }

    @Override
    public boolean isStillNeeded() {
      return state == State.DIALLING && !queued.isEmpty();
    }

    @Override
    public void connected(Channel channel) {
      PeerConnection opened = PeerConnection.opened(channel, UpgradePeer.this);
      if (isStillNeeded()) {
        state = State.ASKING;
        connection = opened;
        connection.write(queued.remove(), HttpHeaderValues.KEEP_ALIVE);
        return;
      }
      opened.close();
      if (state == State.DIALLING) {
        state = State.DISCONNECTED;
      }
    }

    @Override
    public void failed(FaultOrigin origin, Throwable cause) {
      if (state != State.DIALLING) {
        return;
      }
      if (PeerConnection.showsNoListener(origin, cause)) {
        whenRefused.accept(UpgradePeer.this);
        return;
      }
      state = State.DISCONNECTED;
      timedOut(first);
      sendQueued();
    }
  }
}
