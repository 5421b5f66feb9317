package ferngrade.review;

/** A job of a client, as the protocol page writes it. */
public record Job(String id, String kind, String owner, int deadlineMillis, String body) {
  /** Returns a job of the keyed class plan-build, which is given up after 10 s. */
  public static Job planBuild(String id, String owner, String body) {
    return new Job(id, "plan-build", owner, 10_000, body);
  }

  /** Returns a job of the class supply-order, which must never run twice; given up after 20 s. */
  public static Job supplyOrder(String id, String owner, String body) {
    return new Job(id, "supply-order", owner, 20_000, body);
  }

  /** Returns the head of the request without its Content-Length and the empty line. */
  public String head() {
    return "POST /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: "
        + id
        + "\r\nReq-Kind: "
        + kind
        + "\r\nReq-Owner: "
        + owner
        + "\r\nReq-Deadline: "
        + deadlineMillis
        + "m"
        + (kind.equals("plan-build") ? "\r\nIdempotency-Key: key-" + id : "");
  }
}
