package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;

/**
 * A job as submitted by a client.
 *
 * @param id the identifier chosen by the client, unique in the store
 * @param idempotency whether the job may run again
 * @param idempotencyKey the key by which a worker recognizes a repeated run; empty if there is none
 * @param windowMillis the time after the first run during which a worker recognizes the key, ms
 * @param payload the request for the worker, opaque to the store
 */
public record JobSubmission(
    String id,
    Idempotency idempotency,
    String idempotencyKey,
    double windowMillis,
    byte[] payload) {}
