package ferngrade.http;

import ferngrade.node.MemoryBudget;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Queues the requests that one connection has sent while an earlier request is in progress. Each
 * request gets a response, in order. Requests up to the limit are kept. Requests beyond the limit
 * are only counted, and are rejected.
 */
final class PipelinedRequests {
  /** The maximum number of requests kept for one connection. */
  private static final int MAX_QUEUED = 64;

  private final MemoryBudget memory;
  private final Deque<Entry> queued = new ArrayDeque<>();
  private int rejected;

  /** The action to take when it is a request's turn. */
  enum Action {
    HANDLE,
    TOO_LARGE,
    REJECT
  }

  /**
   * One entry of the queue. {@code request} is null unless the action is {@link Action#HANDLE};
   * {@code bytes} is the memory reserved for it, 0 if there is none. {@code arrivedAt} is the
   * earliest time at which the request may have arrived on this machine, in ms on the node's clock;
   * the request's deadline counts from that time.
   */
  record Entry(Action action, FullHttpRequest request, long bytes, double arrivedAt) {}

  /** Creates an empty queue, whose requests take memory from {@code memory}. */
  PipelinedRequests(MemoryBudget memory) {
    this.memory = memory;
  }

  boolean isEmpty() {
    return queued.isEmpty() && rejected == 0;
  }

  /**
   * Queues a request and takes over its reference. If there is no capacity, returns false and
   * leaves the reference to the caller.
   */
  boolean add(FullHttpRequest request, double arrivedAt) {
    long bytes = RequestSize.of(request);
    boolean accepted =
        queued.size() < MAX_QUEUED && memory.tryReserve(MemoryBudget.Use.QUEUED_REQUESTS, bytes);
    if (accepted) {
      queued.add(new Entry(Action.HANDLE, request, bytes, arrivedAt));
    }
    return accepted;
  }

  /** Queues a request whose body is too large. */
  void addTooLarge(double arrivedAt) {
    queued.add(new Entry(Action.TOO_LARGE, null, 0, arrivedAt));
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
    Entry first = queued.poll();
    if (first != null) {
      memory.release(MemoryBudget.Use.QUEUED_REQUESTS, first.bytes());
    } else if (rejected > 0) {
      rejected--;
      return new Entry(Action.REJECT, null, 0, 0);
    }
    return first;
  }

  /** Releases all requests after the client has disconnected. */
  void release() {
    queued.forEach(
        entry -> {
          memory.release(MemoryBudget.Use.QUEUED_REQUESTS, entry.bytes());
          ReferenceCountUtil.release(entry.request());
        });
    queued.clear();
    rejected = 0;
  }
}
