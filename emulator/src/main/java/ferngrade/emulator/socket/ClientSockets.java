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

/** Takes the clients' tries to nodes over the platform's protocol. */
final class ClientSockets implements Clients.Carrier {
  private static final double UNREACHED_AFTER = 100;

  private final Scenario scenario;
  private final Scheduler time;
  private final Network network;
  private final HttpPool http;
  private final Observer observer;
  private final ToIntFunction<Request> front;
  private final IntFunction<InetSocketAddress> nodes;
  private final IntPredicate dead;
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Request, HttpPool.Sent> waiting = new HashMap<>();
  private Clients clients;

  /**
   * {@code front} picks a node for a try, -1 for none; {@code dead} tells of a node that was
   * killed.
   */
  ClientSockets(
      Scenario scenario,
      Scheduler time,
      Network network,
      HttpPool http,
      Observer observer,
      ToIntFunction<Request> front,
      IntFunction<InetSocketAddress> nodes,
      IntPredicate dead) {
    this.scenario = scenario;
    this.time = time;
    this.network = network;
    this.http = http;
    this.observer = observer;
    this.front = front;
    this.nodes = nodes;
    this.dead = dead;
  }

  /** Whose tries these are; called once, before the first. */
  void serve(Clients whose) {
    clients = whose;
  }

  /** The request that was sent under an id; null if none was. */
  Request request(String id) {
    return id == null ? null : requests.get(id);
  }

  @Override
  public void submit(Request request) {
    int node = front.applyAsInt(request);
    request.sentTo(node);
    if (node < 0) {
      time.after(1, () -> clients.answer(request, Answer.UNREACHED, 0));
      return;
    }
    requests.put(request.id, request);
    time.after(
        network.client(),
        () -> {
          if (!request.over()) {
            observer.taken(time.now(), node, request);
            waiting.put(
                request,
                http.send(nodes.apply(node), () -> message(request), new Waiting(request)));
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
        .set("Req-Cost", Math.round(request.hint * 1000))
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
  public void leave(Request request) {
    HttpPool.Sent sent = waiting.remove(request);
    if (sent != null) {
      sent.giveUp();
    }
  }

  private final class Waiting implements HttpPool.Listener {
    private final Request request;

    Waiting(Request request) {
      this.request = request;
    }

    @Override
    public void answered(FullHttpResponse response) {
      int code = response.status().code();
      boolean refused = code == 429 || code == 503;
      Answer answer = code == 200 ? Answer.SERVED : refused ? Answer.REFUSED : Answer.FAILED;
      waiting.remove(request);
      if (request.over()) {
        clients.answer(request, answer, 0);
        return;
      }
      double retryAfter = refused ? retryAfter(response) : 0;
      observer.answered(time.now(), request.node(), request, answer, retryAfter);
      time.after(network.client(), () -> clients.answer(request, answer, retryAfter));
    }

    private double retryAfter(FullHttpResponse response) {
      String seconds = response.headers().get(HttpHeaderNames.RETRY_AFTER);
      try {
        return seconds == null ? 0 : Double.parseDouble(seconds) * 1000;
      } catch (NumberFormatException date) {
        return 0;
      }
    }

    @Override
    public void unreached() {
      waiting.remove(request);
      observer.lost(time.now(), request, "its node could not be reached");
      time.after(UNREACHED_AFTER, () -> clients.answer(request, Answer.UNREACHED, 0));
    }

    @Override
    public void broken() {
      waiting.remove(request);
      if (dead.test(request.node())) {
        observer.lost(time.now(), request, "its node was killed");
      }
      clients.answer(request, Answer.BROKEN, 0);
    }
  }
}
