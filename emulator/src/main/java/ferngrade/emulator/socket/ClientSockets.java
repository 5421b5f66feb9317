package ferngrade.emulator.socket;

import ferngrade.emulator.ClassSpec;
import ferngrade.emulator.Clients;
import ferngrade.emulator.Network;
import ferngrade.emulator.Observer;
import ferngrade.emulator.Request;
import ferngrade.emulator.Request.Answer;
import ferngrade.emulator.Scenario;
import ferngrade.emulator.Scheduler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.function.IntPredicate;
import java.util.function.ToIntFunction;

/** Sends the clients' requests to nodes over HTTP, in the form that the platform defines. */
final class ClientSockets implements Clients.Transport {
  private static final double UNREACHED_DELAY_MILLIS = 100;

  private final Scenario scenario;
  private final Scheduler time;
  private final Network network;
  private final HttpPool http;
  private final Observer observer;
  private final ToIntFunction<Request> nodePicker;
  private final IntFunction<InetSocketAddress> nodes;
  private final IntPredicate isKilled;
  private final Map<String, Request> requestsById = new HashMap<>();
  private final Map<Request, HttpPool.PendingRequest> openExchanges = new HashMap<>();
  private Clients clients;

  /**
   * Creates a transport. {@code nodePicker} picks the node for a request, -1 if there is none;
   * {@code isKilled} returns true for a node that was killed.
   */
  ClientSockets(
      Scenario scenario,
      Scheduler time,
      Network network,
      HttpPool http,
      Observer observer,
      ToIntFunction<Request> nodePicker,
      IntFunction<InetSocketAddress> nodes,
      IntPredicate isKilled) {
    this.scenario = scenario;
    this.time = time;
    this.network = network;
    this.http = http;
    this.observer = observer;
    this.nodePicker = nodePicker;
    this.nodes = nodes;
    this.isKilled = isKilled;
  }

  /** Sets the clients that receive the answers; called once, before the first request. */
  void setClients(Clients owner) {
    clients = owner;
  }

  /** Returns the request that was sent with this id, or null if there is none. */
  Request request(String id) {
    return id == null ? null : requestsById.get(id);
  }

  @Override
  public void submit(Request request) {
    int node = nodePicker.applyAsInt(request);
    request.setNode(node);
    if (node < 0) {
      time.after(1, () -> clients.answer(request, Answer.UNREACHED, 0));
      return;
    }
    requestsById.put(request.id, request);
    time.after(
        network.clientDelay(),
        () -> {
          if (!request.ended()) {
            observer.requestAccepted(time.now(), node, request);
            openExchanges.put(
                request,
                http.send(
                    nodes.apply(node), () -> message(request), new ResponseListener(request)));
          }
        });
  }

  private FullHttpRequest message(Request request) {
    ClassSpec spec = scenario.workload.classes.get(request.jobClass);
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/api", Unpooled.EMPTY_BUFFER);
    message
        .headers()
        .set(HttpHeaderNames.HOST, "node")
        .set(HttpHeaderNames.CONTENT_LENGTH, 0)
        .set("Req-Id", request.id)
        .set("Req-Kind", spec.name)
        .set("Req-Owner", scenario.workload.tenants.get(request.tenant).name)
        .set("Req-Deadline", Math.max(1, Math.round((request.deadline - request.due) * 1000)) + "u")
        .set("Req-Cost", Math.round(request.estimatedWork * 1000))
        .set("Req-Extra", "slots=" + spec.slots);
    if (request.key != null) {
      message.headers().set("Idempotency-Key", request.key);
    }
    if (request.object != 0 && scenario.workload.tellObjects) {
      message.headers().set(HttpHeaderNames.COOKIE, "obj=" + Long.toHexString(request.object));
    }
    return message;
  }

  @Override
  public void disconnect(Request request) {
    HttpPool.PendingRequest sent = openExchanges.remove(request);
    if (sent != null) {
      sent.giveUp();
    }
  }

  private final class ResponseListener implements HttpPool.Listener {
    private final Request request;

    ResponseListener(Request request) {
      this.request = request;
    }

    @Override
    public void responseReceived(FullHttpResponse response) {
      int code = response.status().code();
      boolean refused = code == 429 || code == 503;
      Answer answer = code == 200 ? Answer.SERVED : refused ? Answer.REFUSED : Answer.FAILED;
      openExchanges.remove(request);
      if (request.ended()) {
        clients.answer(request, answer, 0);
        return;
      }
      double retryAfter = refused ? retryAfter(response) : 0;
      observer.requestAnswered(time.now(), request.node(), request, answer, retryAfter);
      time.after(network.clientDelay(), () -> clients.answer(request, answer, retryAfter));
    }

    private double retryAfter(FullHttpResponse response) {
      String seconds = response.headers().get(HttpHeaderNames.RETRY_AFTER);
      try {
        return seconds == null ? 0 : Double.parseDouble(seconds) * 1000;
      } catch (NumberFormatException httpDate) {
        return 0;
      }
    }

    @Override
    public void connectFailed() {
      openExchanges.remove(request);
      observer.requestLost(time.now(), request, "its node could not be reached");
      time.after(UNREACHED_DELAY_MILLIS, () -> clients.answer(request, Answer.UNREACHED, 0));
    }

    @Override
    public void connectionClosed() {
      openExchanges.remove(request);
      if (isKilled.test(request.node())) {
        observer.requestLost(time.now(), request, "its node was killed");
      }
      clients.answer(request, Answer.BROKEN, 0);
    }
  }
}
