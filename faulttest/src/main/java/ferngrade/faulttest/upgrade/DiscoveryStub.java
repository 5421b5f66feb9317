package ferngrade.faulttest.upgrade;

import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A discovery agent on the node's machine. Each watch receives the complete endpoint list when it
 * opens, and again every {@link #INTERVAL_MILLIS}.
 */
final class DiscoveryStub implements AutoCloseable {
  /**
   * The interval between two lists on a watch, ms. It is short, so that lists arrive during all
   * other events of a run.
   */
  private static final long INTERVAL_MILLIS = 300;

  private final ServerSocket listener;
  private final List<WorkerStub> workers;
  private final long origin = System.nanoTime();
  private final Set<Socket> watches = ConcurrentHashMap.newKeySet();

  DiscoveryStub(List<WorkerStub> workers) throws IOException {
    this.workers = workers;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startDaemon("discovery", this::accept);
  }

  private static void startDaemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket watch = listener.accept();
        watches.add(watch);
        startDaemon("watch", () -> serve(watch));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket watch) {
    try (watch) {
      InputStream in = watch.getInputStream();
      // The request ends with an empty line; its content does not matter.
      int newlines = 0;
      while (newlines < 2) {
        int character = in.read();
        if (character < 0) {
          return;
        }
        newlines = character == '\n' ? newlines + 1 : character == '\r' ? newlines : 0;
      }
      OutputStream out = watch.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      while (!listener.isClosed()) {
        String line = list() + "\n";
        out.write(ascii(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n"));
        Thread.sleep(INTERVAL_MILLIS);
      }
    } catch (IOException disconnected) {
      // The node has closed its watch.
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      watches.remove(watch);
    }
  }

  /** Returns the number of open watches. */
  int watches() {
    return watches.size();
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private String list() {
    JsonArray members = new JsonArray();
    for (WorkerStub worker : workers) {
      members.add(
          new JsonObject()
              .add("id", worker.name())
              .add("host_port", "127.0.0.1:" + worker.address().getPort())
              .add("locality", UpgradeRun.ZONE)
              .add("flavor", UpgradeRun.KIND)
              .add("phase", "active")
              .add("size", worker.listedSize())
              .add("up_since_ms", 0));
    }
    long revision = 1 + (System.nanoTime() - origin) / 1_000_000 / INTERVAL_MILLIS;
    return new JsonObject()
        .add("revision", revision)
        .add("complete", true)
        .add("members", members)
        .toString();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket watch : watches) {
      watch.close();
    }
  }
}
