package ferngrade.node;

import java.util.Locale;

/**
 * Formats the steps of one request as a structured log line: when the request was read, sent,
 * written, accepted and answered, in ms since it was read. Stateless.
 */
final class RequestTrace {
  private RequestTrace() {}

  /**
   * Returns the trace of the request up to {@code now}; {@code occasion} is the reason for which
   * the trace is written.
   */
  static String describe(PendingRequest request, String occasion, double now) {
    StringBuilder line = new StringBuilder(256);
    line.append("request-trace id=").append(request.job.id());
    line.append(" occasion=").append(occasion);
    line.append(" class=").append(request.job.jobClass());
    line.append(" state=").append(state(request));
    line.append(" now=").append(since(request, now));
    line.append(" due=").append(since(request, request.job.deadline()));
    line.append(" answer=").append(request.answer() == null ? "none" : request.answer());
    line.append(" answered=").append(since(request, request.answeredAt()));
    for (Attempt attempt : request.attempts) {
      append(line, request, attempt);
    }
    return line.toString();
  }

  private static void append(StringBuilder line, PendingRequest request, Attempt attempt) {
    line.append(" attempt=").append(attempt.number);
    line.append(" worker=").append(attempt.endpoint == null ? "-" : attempt.endpoint.name());
    line.append(" sent=").append(since(request, attempt.sentAt));
    line.append(" written=").append(since(request, attempt.writtenAt));
    line.append(" accepted=").append(since(request, attempt.acceptedAt));
    line.append(" called_back=").append(attempt.calledBack);
    line.append(" ended=").append(since(request, attempt.endedAt));
    line.append(" outcome=").append(attempt.outcome == null ? "none" : attempt.outcome);
  }

  /** Returns the step for which the request is waiting. */
  static RequestState state(PendingRequest request) {
    if (request.completed()) {
      return RequestState.ANSWERED;
    }
    RequestState state = RequestState.WAITING_FOR_DISPATCHER;
    for (Attempt attempt : request.attempts) {
      if (!attempt.ended) {
        state = state(attempt);
      }
    }
    return state;
  }

  private static RequestState state(Attempt attempt) {
    if (!Double.isNaN(attempt.acceptedAt)) {
      return RequestState.ACCEPTED_BY_WORKER;
    }
    return attempt.written ? RequestState.WRITTEN_TO_WORKER : RequestState.CONNECTING;
  }

  private static String since(PendingRequest request, double time) {
    return Double.isNaN(time) ? "-" : String.format(Locale.ROOT, "%.1f", time - request.readAt);
  }
}
