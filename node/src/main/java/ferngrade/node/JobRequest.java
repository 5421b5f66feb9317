package ferngrade.node;

/**
 * A client's request as it is forwarded to a worker; every part is forwarded unchanged. {@code
 * idempotencyKey} is null if the client sent none.
 */
public record JobRequest(
    String id, String method, String target, String idempotencyKey, byte[] body) {}
