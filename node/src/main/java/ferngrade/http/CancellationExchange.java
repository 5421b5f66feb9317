package ferngrade.http;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.node.Timers;
import ferngrade.transport.FaultOrigin;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;

/**
 * Notifies a worker with a DELETE that no client waits for a job any more. The response is not
 * evaluated; a callback runs once, when the request is written or cannot be written.
 */
final class CancellationExchange extends HttpExchange {
  /** The maximum duration of a cancellation, in ms. */
  private static final double TIMEOUT_MILLIS = 2000;

  private final WorkerClient client;
  private final InetSocketAddress worker;
  private final String jobId;
  private final Runnable whenNotified;
  private WorkerConnection connection;
  private Timers.Timer timeout;
  private boolean retried;
  private boolean notified;

  CancellationExchange(
      WorkerClient client, InetSocketAddress worker, String jobId, Runnable whenNotified) {
    this.client = client;
    this.worker = worker;
    this.jobId = jobId;
    this.whenNotified = whenNotified;
  }

  @Override
  double dialTimeout() {
    return TIMEOUT_MILLIS;
  }

  @Override
  boolean isStillNeeded() {
    return true;
  }

  @Override
  FullHttpRequest request() {
    return newRequest(HttpMethod.DELETE, "/jobs/" + jobId, worker, new byte[0]);
  }

  @Override
  void connectionAssigned(WorkerConnection carrier) {
    connection = carrier;
    timeout = client.timers().after(TIMEOUT_MILLIS, carrier::close);
  }

  @Override
  void written() {
    finish();
  }

  @Override
  void answered(FullHttpResponse response) {
    timeout.cancel();
  }

  /**
   * Retries the request once if the worker may have closed an idle connection while the request was
   * on its way; this is safe because a cancellation is idempotent.
   */
  @Override
  void connectionLost(FaultOrigin origin) {
    timeout.cancel();
    if (!retried && (connection.idleBeforeReuse >= 0 || origin == FaultOrigin.LOCAL)) {
      retried = true;
      client.dial(worker, this);
    } else {
      finish();
    }
  }

  @Override
  void notConnected(AttemptOutcome outcome) {
    finish();
  }

  private void finish() {
    if (!notified) {
      notified = true;
      whenNotified.run();
    }
  }
}
