package ferngrade.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that one connection has sent behind the one in progress; each gets a response in
 * order. The first requests are kept. Of those beyond the limit only the number is kept, and they
 * are rejected.
 */
final class PipelinedRequests {
  /** The maximum number of requests kept for one connection. */
  private static final int MAX_WAITING = 64;

  private final HttpFrontend front;
  private final Deque<Entry> waiting = new ArrayDeque<>();
  private int rejected;

  /** The action to take when it is a request's turn. */
  enum Kind {
    HANDLE,
    TOO_LARGE,
    REJECT
  }

  /**
   * One queued request, which is null unless it is to be handled, and the earliest time at which it
   * may have arrived on this machine, in ms on the node's clock. The request's deadline counts from
   * that time.
   */
  record Entry(Kind kind, FullHttpRequest request, double arrived) {
    private int bytes() {
      return request == null ? 0 : request.content().readableBytes();
    }
  }

  /** Creates an empty queue, whose bytes count against the limit of {@code front}. */
  PipelinedRequests(HttpFrontend front) {
    this.front = front;
  }

  boolean isEmpty() {
    return waiting.isEmpty() && rejected == 0;
  }

  /**
   * Queues a request and takes over its reference. Returns false, and does neither, if there is no
   * capacity.
   */
  boolean add(FullHttpRequest request, double arrived) {
    boolean accepted =
        waiting.size() < MAX_WAITING
            && front.reserveWaitingBytes(request.content().readableBytes());
    if (accepted) {
      waiting.add(new Entry(Kind.HANDLE, request, arrived));
    }
    return accepted;
  }

  /** Queues a request whose body is too large. */
  void addTooLarge(double arrived) {
    waiting.add(new Entry(Kind.TOO_LARGE, null, arrived));
  }

  /** Queues a request that is rejected after all kept requests. */
  void reject() {
    rejected++;
  }

  /**
   * Removes and returns the next request, whose reference the caller takes over; null if there is
   * none.
   */
  Entry poll() {
    Entry first = waiting.poll();
    if (first != null) {
      front.releaseWaitingBytes(first.bytes());
    } else if (rejected > 0) {
      rejected--;
      return new Entry(Kind.REJECT, null, 0);
    }
    return first;
  }

  /** Releases all requests after the client has disconnected. */
  void release() {
    waiting.forEach(
        each -> {
          front.releaseWaitingBytes(each.bytes());
          ReferenceCountUtil.release(each.request());
        });
    waiting.clear();
    rejected = 0;
  }
}
