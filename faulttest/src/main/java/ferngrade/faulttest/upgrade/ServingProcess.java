package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** One process of the node under test, as seen from outside. Any thread may use it. */
public final class ServingProcess {
  private final long pid;
  private final CompletableFuture<InetSocketAddress> operators = new CompletableFuture<>();
  private final CompletableFuture<Integer> ended = new CompletableFuture<>();

  ServingProcess(long pid) {
    this.pid = pid;
  }

  /** Its process id. */
  public long pid() {
    return pid;
  }

  void listening(InetSocketAddress address) {
    operators.complete(address);
  }

  void ended(int status) {
    ended.complete(status);
    operators.completeExceptionally(new IOException("process " + pid + " has ended"));
  }

  /** False once it has ended. */
  public boolean alive() {
    return !ended.isDone();
  }

  /** Where it takes operators' calls; fails if it does not listen within {@code timeout} ms. */
  public InetSocketAddress operators(long timeout) throws IOException, InterruptedException {
    try {
      return operators.get(timeout, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException failed) {
      throw new IOException("process " + pid + " does not listen: " + failed.getMessage(), failed);
    }
  }

  /** Where it takes operators' calls, null as long as it does not listen. */
  InetSocketAddress operatorsNow() {
    return operators.isCompletedExceptionally() ? null : operators.getNow(null);
  }

  /** Its wait status, once it has ended; fails if that takes longer than {@code timeout} ms. */
  public int awaitEnd(long timeout) throws IOException, InterruptedException {
    try {
      return ended.get(timeout, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException failed) {
      throw new IOException("process " + pid + " does not end: " + failed.getMessage(), failed);
    }
  }

  /** Sends it a signal, by its name without SIG. */
  void signal(String name) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }
  }
}
