package ferngrade.node;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

/**
 * Bounds the memory that the node holds on behalf of its peers: the sum of the requests that are
 * received, queued or in progress and of the responses that their peers have not read. Each holder
 * reserves what it holds. When the sum would exceed the limit, the budget first asks its {@link
 * Reclaimer} to free what can still be refused. Confined to the event loop.
 */
public final class MemoryBudget {
  private final Map<Use, Long> reserved = new EnumMap<>(Use.class);
  private final Map<Use, Long> refused = new EnumMap<>(Use.class);
  private long limit;
  private long total;
  private Reclaimer reclaimer = enough -> {};
  private boolean reclaiming;

  /** The purposes for which memory is reserved. */
  public enum Use {
    /** Requests that have not arrived completely, and bytes that are not decoded. */
    PARTIAL_REQUESTS(1),
    /** Complete requests that wait for an earlier request of their connection. */
    QUEUED_REQUESTS(0.25),
    /** Requests that are in progress. */
    JOBS(0.5),
    /** Responses that their peers have not read. */
    RESPONSES(1),
    /** Calls to other processes of the node that are not answered. */
    RELAYS(0.25);

    /** The share of the limit that this use may take at most. */
    private final double maxShare;

    Use(double maxShare) {
      this.maxShare = maxShare;
    }
  }

  /** Frees memory that is reserved for work which the node may still refuse. */
  @FunctionalInterface
  public interface Reclaimer {
    /** Frees memory until {@code enough} returns true or nothing is left to free. */
    void reclaim(BooleanSupplier enough);
  }

  /** Creates a budget of this many bytes. */
  public MemoryBudget(long limit) {
    this.limit = limit;
  }

  /** Creates a budget that is never exhausted. */
  public static MemoryBudget unlimited() {
    return new MemoryBudget(Long.MAX_VALUE);
  }

  /** Sets what frees memory when the budget is exhausted. */
  public void setReclaimer(Reclaimer changed) {
    reclaimer = changed;
  }

  /** Changes the limit, and frees memory if it is exceeded. */
  public void setLimit(long changed) {
    limit = changed;
    reclaimFor(0);
  }

  /** Returns the limit in bytes. */
  public long limit() {
    return limit;
  }

  /** Returns the number of bytes reserved for a use. */
  public long reserved(Use use) {
    return reserved.getOrDefault(use, 0L);
  }

  /** Returns the number of bytes reserved for all uses. */
  public long total() {
    return total;
  }

  /** Returns how often a reservation was refused, without entries for uses that never were. */
  public Map<Use, Long> refused() {
    return Map.copyOf(refused);
  }

  /** Reserves memory if the limit allows it; otherwise returns false and reserves nothing. */
  public boolean tryReserve(Use use, long bytes) {
    boolean withinShare = reserved(use) + bytes <= use.maxShare * limit;
    if (withinShare) {
      reclaimFor(bytes);
    }
    boolean fits = withinShare && fits(bytes);
    if (fits) {
      add(use, bytes);
    } else {
      refused.merge(use, 1L, Long::sum);
    }
    return fits;
  }

  /** Releases memory that {@link #tryReserve} has reserved. */
  public void release(Use use, long bytes) {
    add(use, -bytes);
  }

  /** Creates an empty reservation whose size follows what its holder holds. */
  public Reservation newReservation(Use use) {
    return new Reservation(use);
  }

  /** The memory of one holder that already holds it, so that it cannot be refused. */
  public final class Reservation {
    private final Use use;
    private long bytes;

    private Reservation(Use use) {
      this.use = use;
    }

    /** Returns the number of bytes reserved. */
    public long bytes() {
      return bytes;
    }

    /** Changes the size, and frees memory of this or of other holders if the limit is exceeded. */
    public void resize(long changed) {
      if (changed == bytes) {
        return;
      }
      boolean grows = changed > bytes;
      add(use, changed - bytes);
      bytes = changed;
      if (grows) {
        reclaimFor(0);
      }
    }

    /** Ends the reservation; it may be resized again later. */
    public void release() {
      resize(0);
    }
  }

  private void add(Use use, long bytes) {
    total += bytes;
    reserved.merge(use, bytes, Long::sum);
  }

  private boolean fits(long bytes) {
    return total <= limit - bytes;
  }

  private void reclaimFor(long bytes) {
    if (!fits(bytes) && !reclaiming) {
      reclaiming = true;
      try {
        reclaimer.reclaim(() -> fits(bytes));
      } finally {
        reclaiming = false;
      }
    }
  }
}
