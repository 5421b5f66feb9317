package ferngrade.http;

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
 * Another process of this node, and the one connection to it that is kept between calls. The first
 * call asks the process to keep the connection, and the others wait for its answer. If it keeps the
 * connection, they are pipelined on it; a process of an earlier release closes it, and then each
 * call has a connection of its own. Belongs to the event loop.
 */
final class UpgradePeer implements PeerConnection.Owner {
  /** The calls that are held for one process, waiting or unanswered on its kept connection. */
  static final int MAX_CALLS = 1024;

  /** The bytes of their bodies. */
  static final int MAX_BYTES = 1 << 20;

  private final InetSocketAddress address;
  private final Dialer dialer;
  private final Timers timers;
  private final Consumer<UpgradePeer> whenRefused;
  private final Queue<PeerCall> waiting = new ArrayDeque<>();
  private State state = State.DISCONNECTED;
  private int heldCalls;
  private int heldBytes;

  /** The connection that is asked for or kept; null in the other states. */
  private PeerConnection connection;

  private enum State {
    /** No connection; the next call opens one. */
    DISCONNECTED,
    /** A connection is being opened; calls wait. */
    DIALLING,
    /** The first call on the connection is unanswered; the others wait. */
    ASKING,
    /** The process keeps the connection: calls are pipelined. */
    KEPT,
    /** The process closes connections behind an answer: each call has one of its own. */
    CONNECTION_PER_CALL,
    /** The process has ended, or its place is taken; no more calls. */
    FORGOTTEN
  }

  /**
   * The process at this address; {@code dialer} puts a {@link PeerConnection} into each pipeline.
   */
  UpgradePeer(
      InetSocketAddress address, Dialer dialer, Timers timers, Consumer<UpgradePeer> whenRefused) {
    this.address = address;
    this.dialer = dialer;
    this.timers = timers;
    this.whenRefused = whenRefused;
  }

  InetSocketAddress address() {
    return address;
  }

  /** Makes a call; one that cannot be held ends at once without an answer. */
  void call(PeerCall call) {
    if (state == State.FORGOTTEN || heldCalls >= MAX_CALLS || heldBytes + call.size() > MAX_BYTES) {
      call.end(PeerCall.NO_ANSWER);
      return;
    }
    heldCalls++;
    heldBytes += call.size();
    call.timedBy(timers.after(call.timeout(), () -> timedOut(call)));
    waiting.add(call);
    proceed();
  }

  /** Closes the connection and ends all calls without an answer; again to no effect. */
  void forget() {
    if (state == State.FORGOTTEN) {
      return;
    }
    state = State.FORGOTTEN;
    List<PeerCall> left = new ArrayList<>();
    if (connection != null) {
      left.addAll(connection.close());
      connection = null;
    }
    left.addAll(waiting);
    waiting.clear();
    left.forEach(call -> call.end(PeerCall.NO_ANSWER));
  }

  private void timedOut(PeerCall call) {
    if (waiting.remove(call)) {
      release(call);
    }
    call.end(PeerCall.NO_ANSWER);
  }

  /** The call is held no more. */
  private void release(PeerCall call) {
    heldCalls--;
    heldBytes -= call.size();
  }

  /** Does for the waiting calls what the state allows. */
  private void proceed() {
    if (state == State.DISCONNECTED && !waiting.isEmpty()) {
      state = State.DIALLING;
      PeerCall first = waiting.element();
      dialer.dial(address, first.timeout(), new Dial(first));
    }
    while (state == State.KEPT && !waiting.isEmpty()) {
      connection.write(waiting.remove(), HttpHeaderValues.KEEP_ALIVE);
    }
    while (state == State.CONNECTION_PER_CALL && !waiting.isEmpty()) {
      PeerCall call = waiting.remove();
      release(call);
      new SingleCallDial(call, () -> whenRefused.accept(this)).dial(dialer, address);
    }
  }

  // ---- The kept connection ----

  @Override
  public void answered(PeerCall call, int status) {
    state = State.KEPT;
    release(call);
    call.end(status);
    proceed();
  }

  @Override
  public void answeredLast(PeerCall call, int status, List<PeerCall> unanswered) {
    boolean closesAlways = state == State.ASKING && status != HttpResponseStatus.BAD_REQUEST.code();
    state = closesAlways ? State.CONNECTION_PER_CALL : State.DISCONNECTED;
    connection = null;
    release(call);
    List<PeerCall> failed = repeat(unanswered);
    call.end(status);
    endUnanswered(failed);
  }

  @Override
  public void broken(List<PeerCall> unanswered) {
    boolean kept = state == State.KEPT;
    state = State.DISCONNECTED;
    connection = null;
    if (kept) {
      endUnanswered(repeat(unanswered));
    } else {
      unanswered.forEach(this::release);
      endUnanswered(unanswered);
    }
  }

  /**
   * Puts the calls of a kept connection that has ended before those that wait.
   *
   * @return those that may not be made again
   */
  private List<PeerCall> repeat(List<PeerCall> unanswered) {
    List<PeerCall> later = List.copyOf(waiting);
    waiting.clear();
    List<PeerCall> failed = new ArrayList<>();
    for (PeerCall call : unanswered) {
      if (call.repeat()) {
        waiting.add(call);
      } else {
        release(call);
        failed.add(call);
      }
    }
    waiting.addAll(later);
    return failed;
  }

  private void endUnanswered(List<PeerCall> calls) {
    calls.forEach(call -> call.end(PeerCall.NO_ANSWER));
    proceed();
  }

  /** The dial of the connection that is to be kept; its failure ends the first call. */
  private final class Dial implements Dialer.Listener {
    private final PeerCall first;

    Dial(PeerCall first) {
      this.first = first;
    }

    @Override
    public boolean wanted() {
      return state == State.DIALLING && !waiting.isEmpty();
    }

    @Override
    public void connected(Channel channel) {
      PeerConnection opened = PeerConnection.opened(channel, UpgradePeer.this);
      if (wanted()) {
        state = State.ASKING;
        connection = opened;
        connection.write(waiting.remove(), HttpHeaderValues.KEEP_ALIVE);
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
      if (PeerConnection.refused(origin, cause)) {
        whenRefused.accept(UpgradePeer.this);
        return;
      }
      state = State.DISCONNECTED;
      timedOut(first);
      proceed();
    }
  }
}
