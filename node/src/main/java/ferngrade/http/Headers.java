package ferngrade.http;

/** The names of the headers that clients, workers and nodes use beside those of HTTP. */
final class Headers {
  static final String ID = "Req-Id";
  static final String KIND = "Req-Kind";
  static final String OWNER = "Req-Owner";
  static final String DEADLINE = "Req-Deadline";
  static final String COST = "Req-Cost";
  static final String EXTRA = "Req-Extra";
  static final String REPEAT_KEY = "Idempotency-Key";
  static final String DECLINED = "Srv-Declined";
  static final String LOAD = "Srv-Load";

  /** Name and process id of the sender, for the records of workers. */
  static final String PROCESS = "Dispatcher-Process";

  private Headers() {}
}
