package ferngrade.http;

/** Names of the HTTP headers that are specific to this protocol. */
final class Headers {
  static final String ID = "Req-Id";
  static final String KIND = "Req-Kind";
  static final String OWNER = "Req-Owner";
  static final String DEADLINE = "Req-Deadline";
  static final String COST = "Req-Cost";
  static final String EXTRA = "Req-Extra";
  static final String IDEMPOTENCY_KEY = "Idempotency-Key";
  static final String DECLINED = "Srv-Declined";
  static final String LOAD = "Srv-Load";

  /** The name and process id of the sender, for the workers' records. */
  static final String PROCESS = "Dispatcher-Process";

  private Headers() {}
}
