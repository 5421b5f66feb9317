package ferngrade.http;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.node.Timers;
import ferngrade.transport.FaultOrigin;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.BiConsumer;

/**
 * A health check: requests the load of a worker and reports an outcome and the load exactly once.
 */
final class HealthCheckExchange extends HttpExchange {
  /** The maximum duration of a health check, in ms. */
  private static final double TIMEOUT_MILLIS = 300;

  private final InetSocketAddress worker;
  private final BiConsumer<AttemptOutcome, LoadReport> listener;
  private final Timers.Timer timeout;
  private WorkerConnection connection;
  private boolean finished;

  /** Creates a health check; its timeout starts now. */
  HealthCheckExchange(
      InetSocketAddress worker, Timers timers, BiConsumer<AttemptOutcome, LoadReport> listener) {
    this.worker = worker;
    this.listener = listener;
    this.timeout = timers.after(TIMEOUT_MILLIS, this::timedOut);
  }

  @Override
  double dialTimeout() {
    return TIMEOUT_MILLIS;
  }

  @Override
  boolean isStillNeeded() {
    return !finished;
  }

  @Override
  FullHttpRequest request() {
    return finished ? null : newRequest(HttpMethod.GET, "/-/load", worker, new byte[0]);
  }

  @Override
  void connectionAssigned(WorkerConnection carrier) {
    connection = carrier;
  }

  @Override
  boolean readsBody() {
    return true;
  }

  @Override
  void answered(FullHttpResponse response) {
    connection = null;
    boolean healthy = response.status().code() == 200;
    finish(
        healthy ? AttemptOutcome.OK : AttemptOutcome.ERROR,
        LoadReportParser.parse(response.content().toString(StandardCharsets.UTF_8)));
  }

  @Override
  void connectionLost(FaultOrigin origin) {
    connection = null;
    finish(
        origin == FaultOrigin.LOCAL ? AttemptOutcome.NEVER_SENT : AttemptOutcome.RESET,
        LoadReport.NONE);
  }

  @Override
  void notConnected(AttemptOutcome outcome) {
    finish(outcome, LoadReport.NONE);
  }

  private void timedOut() {
    if (connection != null) {
      // An event loop that was held up runs due timers before it reads responses that have already
      // arrived.
      connection.readPending();
    }
    finish(delayedLocally ? AttemptOutcome.NEVER_SENT : AttemptOutcome.TIMEOUT, LoadReport.NONE);
  }

  private void finish(AttemptOutcome outcome, LoadReport report) {
    if (!finished) {
      finished = true;
      timeout.cancel();
      if (connection != null) {
        connection.close();
      }
      listener.accept(outcome, report);
    }
  }
}
