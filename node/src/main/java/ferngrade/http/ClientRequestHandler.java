package ferngrade.http;

import ferngrade.dispatch.Job;
import ferngrade.http.UpgradePeers.RelayOutcome;
import ferngrade.node.Clock;
import ferngrade.node.RejectionReason;
import ferngrade.node.RequestCoordinator;
import ferngrade.node.WorkerCallback;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Dispatches the requests of all client connections by path: readiness checks, workers' callbacks,
 * and jobs. Each request gets exactly one response on its own connection, at once or later.
 * Confined to the event loop.
 */
final class ClientRequestHandler {
  private static final String READY_PATH = "/-/ready";
  private static final String CALLBACK_PATH = "/_jobs/news";

  /** The reason given to a client whose request has an id that another request has used. */
  static final String ID_USED = "Req-Id has been used";

  private final HttpFrontend frontend;
  private final RequestCoordinator coordinator;
  private final RequestReader reader;
  private final Clock clock;

  ClientRequestHandler(
      HttpFrontend frontend, RequestCoordinator coordinator, RequestReader reader, Clock clock) {
    this.frontend = frontend;
    this.coordinator = coordinator;
    this.reader = reader;
    this.clock = clock;
  }

  /**
   * Handles a complete request.
   *
   * @param arrivedAt the earliest time at which the request may have arrived on this machine, in ms
   *     on the node's clock
   * @throws BadRequestException if the request is invalid; no response has been written then
   */
  void handle(ClientConnection connection, FullHttpRequest request, double arrivedAt)
      throws BadRequestException {
    if (request.decoderResult().isFailure()) {
      throw new BadRequestException("not a request in HTTP");
    }
    String path = new QueryStringDecoder(request.uri()).rawPath();
    if (path.equals(READY_PATH)) {
      boolean ready = coordinator.ready() && !frontend.draining();
      connection.respond(
          ready ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "");
    } else if (!request.method().equals(HttpMethod.POST)) {
      connection.respondAndClose(HttpResponseStatus.METHOD_NOT_ALLOWED, "jobs come by POST");
    } else if (path.equals(CALLBACK_PATH)) {
      String body = request.content().toString(StandardCharsets.UTF_8);
      callback(connection, WorkerCallbackParser.parse(body), body);
    } else {
      job(connection, request, arrivedAt);
    }
  }

  /** Reports that the client of a job has closed its connection. */
  void clientDisconnected(String jobId) {
    coordinator.clientDisconnected(jobId);
  }

  /**
   * Handles a worker's callback. While several processes share the client socket, a callback that
   * belongs to no attempt of this process is relayed to the other processes, unless its job is
   * known to be one of this process. If a process does not answer, or a process with an unknown
   * address may be running, the response is 503 and closes the connection. The worker's retry then
   * arrives on a new connection, which another process may accept. In all other cases the response
   * is 204, so that the worker does not send the callback again: a process has taken the callback,
   * or no process waits for it.
   */
  private void callback(ClientConnection connection, WorkerCallback callback, String body) {
    if (coordinator.callback(callback)) {
      connection.trust();
    } else if (frontend.upgradePeers() != null && coordinator.mayBelongElsewhere(callback.id())) {
      frontend.upgradePeers().relay(body, outcome -> relayed(connection, outcome));
      return;
    }
    connection.respond(HttpResponseStatus.NO_CONTENT, "");
  }

  private static void relayed(ClientConnection connection, RelayOutcome outcome) {
    if (outcome == RelayOutcome.UNANSWERED) {
      connection.respondAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "no such job here");
    } else {
      connection.respond(HttpResponseStatus.NO_CONTENT, "");
    }
  }

  private void job(ClientConnection connection, FullHttpRequest request, double arrivedAt)
      throws BadRequestException {
    Job job = reader.job(request, arrivedAt);
    JobResponseHandler response = new JobResponseHandler(connection);
    ShutdownBudget budget = frontend.budget();
    if (budget != null) {
      if (frontend.finishing() || budget.tooShortFor(job.deadline(), clock.now())) {
        coordinator.reject(job, response, 0, RejectionReason.SHUTDOWN);
        return;
      }
      job = budget.capDeadline(job);
    }
    if (frontend.atJobLimit()) {
      coordinator.rejectForCapacity(job, response);
      return;
    }
    frontend.jobStarted();
    connection.jobStarted(job.id());
    if (!coordinator.request(job, RequestReader.jobRequest(request, job.id()), response)) {
      connection.jobNotStarted();
      frontend.jobEnded();
      throw new BadRequestException(ID_USED);
    }
    connection.trust();
  }
}
