package ferngrade.faulttest.upgrade;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** A process of the node under test, as observed from outside. Thread-safe. */
public final class ServingProcess {
  private final long pid;
  private final CompletableFuture<InetSocketAddress> operators = new CompletableFuture<>();
  private final CompletableFuture<Integer> waitStatus = new CompletableFuture<>();

  ServingProcess(long pid) {
    this.pid = pid;
  }

  /** Returns the process id. */
  public long pid() {
    return pid;
  }

  void listening(InetSocketAddress address) {
    operators.complete(address);
  }

  void recordExit(int status) {
    waitStatus.complete(status);
    operators.completeExceptionally(new IOException("process " + pid + " has ended"));
  }

  /** Returns whether the process has not ended yet. */
  public boolean alive() {
    return !waitStatus.isDone();
  }

  /**
   * Returns the address of operators' calls; fails if the process does not listen within {@code
   * timeout} ms.
   */
  public InetSocketAddress operators(long timeout) throws IOException, InterruptedException {
    try {
      return operators.get(timeout, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException failed) {
      throw new IOException("process " + pid + " does not listen: " + failed.getMessage(), failed);
    }
  }

  /** Returns the address of operators' calls, null while the process does not listen. */
  InetSocketAddress operatorsIfListening() {
    return operators.isCompletedExceptionally() ? null : operators.getNow(null);
  }

  /**
   * Waits for the end of the process and returns its wait status; fails after {@code timeout} ms.
   */
  public int awaitEnd(long timeout) throws IOException, InterruptedException {
    try {
      return waitStatus.get(timeout, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException failed) {
      throw new IOException("process " + pid + " does not end: " + failed.getMessage(), failed);
    }
  }

  /** Sends a signal, given by its name without SIG. */
  void signal(String name) throws IOException, InterruptedException {
    if (alive()) {
      new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }
  }
}
