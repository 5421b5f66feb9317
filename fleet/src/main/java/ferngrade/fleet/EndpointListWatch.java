package ferngrade.fleet;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.Flow;
import java.util.function.Consumer;

/**
 * Watches the endpoint list of the discovery service. A watch that ends, or sends no line for 2,500
 * ms, is opened again. All methods belong to the member's thread.
 */
final class EndpointListWatch {
  private static final double MAX_SILENCE_MILLIS = 2_500;
  private static final double REOPEN_DELAY_MILLIS = 500;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final URI uri;
  private final Executor loop;
  private final Consumer<String> lineListener;
  private boolean enabled;
  private LineSubscriber openSubscriber;
  private double lastLineAt;
  private double openedAt = Double.NEGATIVE_INFINITY;

  /**
   * Creates a watch of the list at this address, not yet enabled. Each line, also an empty one, is
   * passed to {@code lineListener} on {@code loop}.
   */
  EndpointListWatch(InetSocketAddress discovery, Executor loop, Consumer<String> lineListener) {
    this.uri =
        URI.create(
            "http://"
                + discovery.getHostString()
                + ":"
                + discovery.getPort()
                + "/api/targets?watch=1");
    this.loop = loop;
    this.lineListener = lineListener;
  }

  /**
   * Enables or disables the watch. If enabled, the next {@link #poll} opens the watch. If disabled,
   * an open watch is closed at once.
   */
  void setEnabled(boolean enabled) {
    this.enabled = enabled;
    if (!enabled && openSubscriber != null) {
      openSubscriber.cancel();
      openSubscriber = null;
    }
  }

  /**
   * Closes a watch that has ended or has sent no line for too long, and opens the next one; {@code
   * now} is a time of the member's clock, ms.
   */
  void poll(double now) {
    if (openSubscriber != null
        && (openSubscriber.ended || now - Math.max(lastLineAt, openedAt) > MAX_SILENCE_MILLIS)) {
      openSubscriber.cancel();
      openSubscriber = null;
    }
    if (enabled && openSubscriber == null && now - openedAt >= REOPEN_DELAY_MILLIS) {
      openedAt = now;
      LineSubscriber subscriber = new LineSubscriber();
      openSubscriber = subscriber;
      subscriber.response =
          client.sendAsync(
              HttpRequest.newBuilder(uri).build(),
              response ->
                  response.statusCode() == 200
                      ? HttpResponse.BodySubscribers.fromLineSubscriber(subscriber)
                      : HttpResponse.BodySubscribers.replacing(null));
      subscriber.response.whenComplete((done, failure) -> subscriber.ended = true);
    }
  }

  /** Records that the watch has sent a line at {@code now}. */
  void lineReceived(double now) {
    lastLineAt = now;
  }

  /** Receives the lines of one response. */
  private final class LineSubscriber implements Flow.Subscriber<String> {
    private volatile boolean ended;
    private volatile Flow.Subscription subscription;
    private CompletableFuture<?> response;

    @Override
    public void onSubscribe(Flow.Subscription newSubscription) {
      subscription = newSubscription;
      newSubscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      loop.execute(
          () -> {
            if (openSubscriber == this) {
              lineListener.accept(line);
            }
          });
    }

    @Override
    public void onError(Throwable failure) {
      ended = true;
    }

    @Override
    public void onComplete() {
      ended = true;
    }

    void cancel() {
      if (subscription != null) {
        subscription.cancel();
      }
      response.cancel(true);
    }
  }
}
