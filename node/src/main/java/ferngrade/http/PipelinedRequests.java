package ferngrade.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that one connection has sent behind the one in progress, each of which is owed a
 * response in turn. The first ones are kept; of those behind them only the count is kept, and they
 * are rejected.
 */
final class PipelinedRequests {
  /** The most requests kept for one connection. */
  private static final int MAX_WAITING = 64;

  private final HttpFrontend front;
  private final Deque<Entry> waiting = new ArrayDeque<>();
  private int rejected;

  /** What is to become of a request when its turn has come. */
  enum Kind {
    HANDLE,
    TOO_LARGE,
    REJECT
  }

  /**
   * One request, which is null unless it is to be handled, and since when it may have been on this
   * machine, ms on the clock: its deadline counts from then.
   */
  record Entry(Kind kind, FullHttpRequest request, double arrived) {
    private int bytes() {
      return request == null ? 0 : request.content().readableBytes();
    }
  }

  /** The bytes that wait count against the frontend's limit. */
  PipelinedRequests(HttpFrontend front) {
    this.front = front;
  }

  boolean isEmpty() {
    return waiting.isEmpty() && rejected == 0;
  }

  /** Queues a request and takes over its reference; false, and neither, without capacity for it. */
  boolean add(FullHttpRequest request, double arrived) {
    boolean accepted =
        waiting.size() < MAX_WAITING
            && front.reserveWaitingBytes(request.content().readableBytes());
    if (accepted) {
      waiting.add(new Entry(Kind.HANDLE, request, arrived));
    }
    return accepted;
  }

  /** A request with too large a body has its turn here. */
  void addTooLarge(double arrived) {
    waiting.add(new Entry(Kind.TOO_LARGE, null, arrived));
  }

  /** A request has arrived that is to be rejected behind all that wait. */
  void reject() {
    rejected++;
  }

  /** The request whose turn it is, which the caller takes over; null if there is none. */
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

  /** Releases all requests: the client has gone. */
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
