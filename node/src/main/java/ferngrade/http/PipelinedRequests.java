package ferngrade.http;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The requests that one connection has sent behind the one in work, each of which is owed an answer
 * in turn. Some wait as they came; of those behind these only the number is kept, and they are to
 * be refused.
 */
final class PipelinedRequests {
  /** Requests that may wait. */
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
   * A request, null unless it is to be handled, and since when it may have been here: its client's
   * time runs from then.
   */
  record Entry(Kind kind, FullHttpRequest request, double arrived) {
    private int bytes() {
      return request == null ? 0 : request.content().readableBytes();
    }
  }

  /** The bytes that wait count in the front's room for them. */
  PipelinedRequests(HttpFrontend front) {
    this.front = front;
  }

  boolean isEmpty() {
    return waiting.isEmpty() && rejected == 0;
  }

  /** Takes a request over to wait; false, and nothing is taken over, if there is no room for it. */
  boolean add(FullHttpRequest request, double arrived) {
    boolean room = waiting.size() < MAX_WAITING && front.holds(request.content().readableBytes());
    if (room) {
      waiting.add(new Entry(Kind.HANDLE, request, arrived));
    }
    return room;
  }

  /** A request with too large a body has its turn here. */
  void addTooLarge(double arrived) {
    waiting.add(new Entry(Kind.TOO_LARGE, null, arrived));
  }

  /** A request came that is to be refused behind all that wait. */
  void reject() {
    rejected++;
  }

  /** The request whose turn it is, which the caller takes over; null if there is none. */
  Entry poll() {
    Entry first = waiting.poll();
    if (first != null) {
      front.held(first.bytes());
    } else if (rejected > 0) {
      rejected--;
      return new Entry(Kind.REJECT, null, 0);
    }
    return first;
  }

  /** Lets go of all, as nobody is there to answer. */
  void release() {
    waiting.forEach(
        each -> {
          front.held(each.bytes());
          ReferenceCountUtil.release(each.request());
        });
    waiting.clear();
    rejected = 0;
  }
}
