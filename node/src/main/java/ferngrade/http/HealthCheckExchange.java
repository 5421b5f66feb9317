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

/** A health check: asks a worker for its load, and ends once, with an outcome and that load. */
final class HealthCheckExchange extends HttpExchange {
  /** How long a health check may take, ms. */
  private static final double TIMEOUT = 300;

  private final InetSocketAddress worker;
  private final BiConsumer<AttemptOutcome, LoadReport> listener;
  private final Timers.Timer timeout;
  private WorkerConnection connection;
  private boolean finished;

  /** A check whose time begins now. */
  HealthCheckExchange(
      InetSocketAddress worker, Timers timers, BiConsumer<AttemptOutcome, LoadReport> listener) {
    this.worker = worker;
    this.listener = listener;
    this.timeout = timers.after(TIMEOUT, this::timedOut);
  }

  @Override
  double dialTimeout() {
    return TIMEOUT;
  }

  @Override
  boolean wanted() {
    return !finished;
  }

  @Override
  FullHttpRequest request() {
    return finished ? null : newRequest(HttpMethod.GET, "/-/load", worker, new byte[0]);
  }

  @Override
  void carriedBy(WorkerConnection carrier) {
    connection = carrier;
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
  void broken(FaultOrigin origin) {
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
      // A loop that was held up comes here before it reads the answer.
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
