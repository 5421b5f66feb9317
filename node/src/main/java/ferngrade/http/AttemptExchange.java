package ferngrade.http;

import ferngrade.dispatch.AttemptOutcome;
import ferngrade.dispatch.LoadReport;
import ferngrade.node.JobRequest;
import ferngrade.node.WorkerTransport.AttemptHandle;
import ferngrade.node.WorkerTransport.Listener;
import ferngrade.transport.Dialer;
import ferngrade.transport.FaultOrigin;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import java.net.InetSocketAddress;

/**
 * An attempt to run a job on a worker: the request is written once, and the worker accepts it with
 * a 202. The worker reports the end of the job later, with a callback.
 */
final class AttemptExchange extends HttpExchange implements AttemptHandle {
  private final WorkerClient client;
  private final JobRequest job;
  private final InetSocketAddress worker;

  /** The time at which the node stops waiting for the attempt, in ms on the node's clock. */
  private final double deadline;

  private final Listener listener;
  private WorkerConnection connection;
  private Stage stage = Stage.CONNECTING;

  AttemptExchange(
      WorkerClient client,
      JobRequest job,
      InetSocketAddress worker,
      double timeout,
      Listener listener) {
    this.client = client;
    this.job = job;
    this.worker = worker;
    this.deadline = client.now() + timeout;
    this.listener = listener;
  }

  /**
   * The progress of an attempt. The attempt enters each stage at most once, except that it may
   * return from writing to connecting, and reports its end once.
   */
  private enum Stage {
    CONNECTING,
    WRITING,
    WRITTEN,
    ACCEPTED,
    ENDED
  }

  @Override
  double dialTimeout() {
    return deadline - client.now();
  }

  @Override
  boolean isStillNeeded() {
    return stage != Stage.ENDED && listener.mayStart();
  }

  @Override
  public boolean delayedLocally() {
    return delayedLocally;
  }

  @Override
  public void readPending() {
    if (connection != null) {
      connection.readPending();
    }
  }

  @Override
  FullHttpRequest request() {
    if (stage == Stage.ENDED) {
      return null;
    }
    client.beforeStart();
    boolean mayStart = listener.mayStart();
    // Computed as late as possible, because a dial may have used up the time.
    double remaining = deadline - client.now();
    if (!mayStart || remaining <= 0) {
      end(AttemptOutcome.NEVER_SENT, LoadReport.NONE);
      return null;
    }
    FullHttpRequest request =
        newRequest(HttpMethod.valueOf(job.method()), job.target(), worker, job.body());
    request.headers().set(Headers.ID, job.id());
    request.headers().set(Headers.DEADLINE, WorkerDeadline.header(remaining));
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, job.body().length);
    if (client.process() != null) {
      request.headers().set(Headers.PROCESS, client.process());
    }
    if (job.idempotencyKey() != null) {
      request.headers().set(Headers.IDEMPOTENCY_KEY, job.idempotencyKey());
    }
    return request;
  }

  @Override
  void connectionAssigned(WorkerConnection carrier) {
    connection = carrier;
    stage = Stage.WRITING;
  }

  @Override
  void written() {
    if (stage == Stage.WRITING) {
      stage = Stage.WRITTEN;
      listener.written();
    }
  }

  @Override
  void answered(FullHttpResponse response) {
    connection = null;
    if (stage == Stage.ENDED) {
      return;
    }
    LoadReport report = LoadReportParser.parse(response.headers().get(Headers.LOAD));
    int status = response.status().code();
    if (status == 202) {
      stage = Stage.ACCEPTED;
      listener.accepted();
    } else if ((status == 503 || status == 504)
        && "1".equals(response.headers().get(Headers.DECLINED))) {
      end(AttemptOutcome.FULL, report);
    } else {
      client
          .log()
          .line(
              "worker's answer",
              "worker " + worker + " answered " + status + " to job " + job.id());
      boolean unusable = HttpStatusClass.valueOf(status) == HttpStatusClass.CLIENT_ERROR;
      end(unusable ? AttemptOutcome.UNUSABLE : AttemptOutcome.ERROR, report);
    }
  }

  @Override
  void connectionLost(FaultOrigin origin) {
    connection = null;
    // Before the last byte is written the worker cannot have started the job; after that it may
    // have.
    boolean mayRun = stage == Stage.WRITTEN;
    if (origin != FaultOrigin.LOCAL) {
      end(mayRun ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, LoadReport.NONE);
    } else if (mayRun) {
      end(AttemptOutcome.CANCELLED, LoadReport.NONE);
    } else if (stage == Stage.WRITING) {
      stage = Stage.CONNECTING;
      delayedLocally = true;
      client.timers().after(Dialer.BACKOFF_MILLIS, this::retry);
    }
  }

  private void retry() {
    if (isStillNeeded()) {
      client.start(worker, this);
    } else {
      end(AttemptOutcome.NEVER_SENT, LoadReport.NONE);
    }
  }

  @Override
  void notConnected(AttemptOutcome outcome) {
    end(outcome, LoadReport.NONE);
  }

  private void end(AttemptOutcome outcome, LoadReport report) {
    if (stage != Stage.ENDED) {
      stage = Stage.ENDED;
      listener.ended(outcome, report);
    }
  }

  /**
   * Cancels the attempt. Closing the connection before the 202 cancels it at the worker. The worker
   * may already have sent the 202, so a DELETE is sent as well.
   */
  @Override
  public void cancel(Runnable whenNotified) {
    boolean mayRun = stage == Stage.WRITTEN || stage == Stage.ACCEPTED;
    stage = Stage.ENDED;
    if (connection != null) {
      connection.close();
    }
    if (mayRun) {
      client.start(worker, new CancellationExchange(client, worker, job.id(), whenNotified));
    } else {
      whenNotified.run();
    }
  }
}
