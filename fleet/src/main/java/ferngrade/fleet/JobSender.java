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
 * Puts a recurring job in as a client would, with the owner's epoch in headers of its own. It goes
 * to one target after another as long as it certainly was not taken; where it may have been, only
 * what may be put in twice goes on.
 */
final class JobSender {
  private static final int CONNECT_MS = 500;
  private static final int MOST_ROUNDS = 3;

  /**
   * Ms to wait before another round where nobody has said for how long, and the longest that is
   * waited.
   */
  private static final long PAUSE = 200;

  private static final long MOST_PAUSE = 3_000;

  private final String fleet;
  private final List<InetSocketAddress> targets;
  private final Executor loop;
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(CONNECT_MS))
          .build();

  /** A sender to these targets; outcomes are told on {@code loop}. */
  JobSender(String fleet, List<InetSocketAddress> targets, Executor loop) {
    this.fleet = fleet;
    this.targets = targets;
    this.loop = loop;
  }

  private static String hex(String text) {
    long[] hash = MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8));
    return String.format("%016x%016x", hash[0], hash[1]);
  }

  /**
   * Puts the job in; {@code holds} is asked at the last moment before each try, and the result told
   * once: empty if the shard is no longer held and the job was certainly not put in.
   */
  void put(
      Job job, long due, long epoch, BooleanSupplier holds, Consumer<Optional<String>> result) {
    attempt(job, due, epoch, holds, result, 0, MOST_PAUSE);
  }

  private void attempt(
      Job job,
      long due,
      long epoch,
      BooleanSupplier holds,
      Consumer<Optional<String>> result,
      int number,
      long pause) {
    if (number >= MOST_ROUNDS * targets.size()) {
      result.accept(Optional.of("refused"));
      return;
    }
    if (!holds.getAsBoolean()) {
      result.accept(Optional.empty());
      return;
    }
    InetSocketAddress target = targets.get(number % targets.size());
    String key = hex(fleet + " " + job.when().name() + " " + due);
    // A job's id is fresh with each sending; its key is what a repeat is known by.
    String id = hex(key + " " + epoch + " " + number).substring(0, 16);
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create("http://" + target.getHostString() + ":" + target.getPort() + "/api"))
            .timeout(Duration.ofMillis((long) job.deadline()))
            .header("Req-Id", id)
            .header("Req-Kind", job.jobClass())
            .header("Req-Owner", job.tenant())
            .header("Req-Deadline", (long) job.deadline() + "m")
            .header("Fencing-Token", Long.toString(epoch))
            .header("Fencing-Shard", job.when().shard().toString())
            .header("Due", Long.toString(due));
    if (job.effect() == Effect.KEYED) {
      request.header("Idempotency-Key", key);
    }
    request.POST(HttpRequest.BodyPublishers.ofString(job.payload()));
    client
        .sendAsync(request.build(), HttpResponse.BodyHandlers.discarding())
        .whenCompleteAsync(
            (answer, failure) -> {
              boolean untaken =
                  answer != null
                      ? answer.statusCode() == 503 || answer.statusCode() == 429
                      : neverSent(failure);
              if (untaken || (answer == null && job.effect() != Effect.UNSAFE)) {
                long shortest = Math.min(pause, answer == null ? PAUSE : asked(answer));
                boolean roundOver = (number + 1) % targets.size() == 0;
                Executor next =
                    roundOver
                        ? CompletableFuture.delayedExecutor(shortest, TimeUnit.MILLISECONDS, loop)
                        : loop;
                next.execute(
                    () ->
                        attempt(
                            job,
                            due,
                            epoch,
                            holds,
                            result,
                            number + 1,
                            roundOver ? MOST_PAUSE : shortest));
              } else if (answer == null) {
                result.accept(Optional.of("in doubt: " + reason(failure)));
              } else {
                result.accept(
                    Optional.of(
                        answer.statusCode() == 200 ? "served" : "failed: " + answer.statusCode()));
              }
            },
            loop);
  }

  /** For how long, ms, a refusal asks to be left alone. */
  private static long asked(HttpResponse<?> refusal) {
    try {
      double seconds = Double.parseDouble(refusal.headers().firstValue("Retry-After").orElse(""));
      return (long) Math.max(0, Math.min(MOST_PAUSE, seconds * 1000));
    } catch (NumberFormatException noTime) {
      return PAUSE;
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
