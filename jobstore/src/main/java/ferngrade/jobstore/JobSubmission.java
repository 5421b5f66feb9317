package ferngrade.jobstore;

import ferngrade.dispatch.Idempotency;

/**
 * A job as its client submits it.
 *
 * @param id the client's identifier of the job, unique in the store
 * @param idempotency whether the job may be run again
 * @param idempotencyKey the key by which a worker recognizes a repeated run; empty for none
 * @param windowMillis how long after a first run a worker recognizes the key, in milliseconds
 * @param payload the request for the worker, which the store does not interpret
 */
public record JobSubmission(
    String id,
    Idempotency idempotency,
    String idempotencyKey,
    double windowMillis,
    byte[] payload) {}
