package ferngrade.fleet;

import ferngrade.fleet.FleetFile.Effect;
import ferngrade.fleet.FleetFile.Job;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Submits a recurring job to a node like any other client, with the epoch of its owner in extra
 * headers. As long as the job was certainly not accepted, it is sent to the next target. If it may
 * have been accepted, it is sent again only if its {@link Effect} allows a repeat.
 */
final class JobSender {
  private static final int CONNECT_TIMEOUT_MILLIS = 500;
  private static final int MAX_ROUNDS = 3;

  /**
   * The delay assumed for a failure, or for a rejection without {@code Retry-After}. Between two
   * rounds over the targets, the sender waits for the shortest delay of the earlier round.
   */
  private static final long DEFAULT_DELAY_MILLIS = 200;

  /** The maximum delay before the next round, even if all targets request a longer one. */
  private static final long MAX_DELAY_MILLIS = 3_000;

  private final String fleet;
  private final List<InetSocketAddress> targets;
  private final Executor loop;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MILLIS))
          .build();

  /** Creates a sender to these targets; results are passed to their callbacks on {@code loop}. */
  JobSender(String fleet, List<InetSocketAddress> targets, Executor loop) {
    this.fleet = fleet;
    this.targets = targets;
    this.loop = loop;
  }

  private static String hash(String text) {
    long[] words = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8));
    return String.format("%016x%016x", words[0], words[1]);
  }

  /**
   * Submits the job that is due at {@code due} (ms since 1970). {@code stillOwned} is evaluated
   * immediately before each attempt. {@code onResult} is called once; its argument is empty if the
   * shard is no longer owned and the job was certainly not accepted.
   */
  void send(
      Job job,
      long due,
      long epoch,
      BooleanSupplier stillOwned,
      Consumer<Optional<String>> onResult) {
    attempt(job, due, epoch, stillOwned, onResult, 0, MAX_DELAY_MILLIS);
  }

  private void attempt(
      Job job,
      long due,
      long epoch,
      BooleanSupplier stillOwned,
      Consumer<Optional<String>> onResult,
      int attemptNumber,
      long delay) {
    if (attemptNumber >= MAX_ROUNDS * targets.size()) {
      onResult.accept(Optional.of("refused"));
      return;
    }
    if (!stillOwned.getAsBoolean()) {
      onResult.accept(Optional.empty());
      return;
    }
    InetSocketAddress target = targets.get(attemptNumber % targets.size());
    String key = hash(fleet + " " + job.schedule().name() + " " + due);
    // Each attempt has a new id; workers recognize a repeat by the idempotency key.
    String id = hash(key + " " + epoch + " " + attemptNumber).substring(0, 16);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://" + target.getHostString() + ":" + target.getPort() + "/api"))
            .timeout(Duration.ofMillis((long) job.deadline()))
            .header("Req-Id", id)
            .header("Req-Kind", job.jobClass())
            .header("Req-Owner", job.tenant())
            .header("Req-Deadline", (long) job.deadline() + "m")
            .header("Fencing-Token", Long.toString(epoch))
            .header("Fencing-Shard", job.schedule().shard().toString())
            .header("Due", Long.toString(due));
    if (job.effect() == Effect.KEYED) {
      request.header("Idempotency-Key", key);
    }
    request.POST(HttpRequest.BodyPublishers.ofString(job.payload()));
    client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.discarding())
        .whenCompleteAsync(
            (response, failure) -> {
              boolean notAccepted =
                  response != null
                      ? response.statusCode() == 503 || response.statusCode() == 429
                      : neverSent(failure);
              if (notAccepted || (response == null && job.effect() != Effect.UNSAFE)) {
                long shortestDelay =
                    Math.min(
                        delay,
                        response == null ? DEFAULT_DELAY_MILLIS : retryAfterMillis(response));
                boolean roundOver = (attemptNumber + 1) % targets.size() == 0;
                Executor executor =
                    roundOver
                        ? CompletableFuture.delayedExecutor(
                            shortestDelay, TimeUnit.MILLISECONDS, loop)
                        : loop;
                executor.execute(
                    () ->
                        attempt(
                            job,
                            due,
                            epoch,
                            stillOwned,
                            onResult,
                            attemptNumber + 1,
                            roundOver ? MAX_DELAY_MILLIS : shortestDelay));
              } else if (response == null) {
                onResult.accept(Optional.of("in doubt: " + reason(failure)));
              } else {
                onResult.accept(
                    Optional.of(
                        response.statusCode() == 200
                            ? "served"
                            : "failed: " + response.statusCode()));
              }
            },
            loop);
  }

  /**
   * Returns the delay that a rejection requests, ms; {@link #DEFAULT_DELAY_MILLIS} if it requests
   * none.
   */
  private static long retryAfterMillis(HttpResponse<?> response) {
    try {
      double seconds = Double.parseDouble(response.headers().firstValue("Retry-After").orElse(""));
      return (long) Math.max(0, Math.min(MAX_DELAY_MILLIS, seconds * 1000));
    } catch (NumberFormatException noNumber) {
      return DEFAULT_DELAY_MILLIS;
    }
  }

  private static boolean neverSent(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
  }

  private static String reason(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause.getClass().getSimpleName();
  }
}
