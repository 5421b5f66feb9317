package ferngrade.node;

/**
 * A client's request as it is forwarded to a worker; every part is forwarded unchanged. {@code
 * idempotencyKey} is null if the client sent none.
 */
public record JobRequest(
    String id, String method, String target, String idempotencyKey, byte[] body) {
  /**
   * The memory of a pending request without its body, in bytes: its attempts, timers and table
   * entries.
   */
  private static final int OVERHEAD_BYTES = 2048;

  /** Returns the memory that the request takes while it is pending, in bytes. */
  long memoryBytes() {
    int key = idempotencyKey == null ? 0 : idempotencyKey.length();
    return (long) OVERHEAD_BYTES + id.length() + target.length() + key + body.length;
  }
}
