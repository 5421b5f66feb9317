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
 * A watch of the worker list, which opens itself anew when it ends or falls silent. Belongs to the
 * member's thread.
 */
final class ListWatch {
  private static final double SILENT = 2_500;
  private static final double AGAIN = 500;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .build();
  private final URI uri;
  private final Executor loop;
  private final Consumer<String> told;
  private boolean wanted;
  private Lines open;
  private double heardAt;
  private double openedAt = Double.NEGATIVE_INFINITY;

  /**
   * A watch of the list at this address; each line, and each empty one, is told on {@code loop}.
   */
  ListWatch(InetSocketAddress discovery, Executor loop, Consumer<String> told) {
    this.uri =
        URI.create(
            "http://"
                + discovery.getHostString()
                + ":"
                + discovery.getPort()
                + "/api/targets?watch=1");
    this.loop = loop;
    this.told = told;
  }

  /** Whether it is to be open from now on. */
  void want(boolean now) {
    wanted = now;
    if (!now && open != null) {
      open.end();
      open = null;
    }
  }

  /** Looks whether it has to be opened; time is ms of the member's clock. */
  void look(double now) {
    if (open != null && (open.ended || now - Math.max(heardAt, openedAt) > SILENT)) {
      open.end();
      open = null;
    }
    if (wanted && open == null && now - openedAt >= AGAIN) {
      openedAt = now;
      Lines lines = new Lines();
      open = lines;
      lines.answer =
          client.sendAsync(
              HttpRequest.newBuilder(uri).build(),
              answer ->
                  answer.statusCode() == 200
                      ? HttpResponse.BodySubscribers.fromLineSubscriber(lines)
                      : HttpResponse.BodySubscribers.replacing(null));
      lines.answer.whenComplete((done, failed) -> lines.ended = true);
    }
  }

  /** A line was heard now. */
  void heard(double now) {
    heardAt = now;
  }

  /** The lines of one answer. */
  private final class Lines implements Flow.Subscriber<String> {
    private volatile boolean ended;
    private volatile Flow.Subscription subscription;
    private CompletableFuture<?> answer;

    @Override
    public void onSubscribe(Flow.Subscription given) {
      subscription = given;
      given.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
      loop.execute(
          () -> {
            if (open == this) {
              told.accept(line);
            }
          });
    }

    @Override
    public void onError(Throwable failed) {
      ended = true;
    }

    @Override
    public void onComplete() {
      ended = true;
    }

    void end() {
      if (subscription != null) {
        subscription.cancel();
      }
      answer.cancel(true);
    }
  }
}
