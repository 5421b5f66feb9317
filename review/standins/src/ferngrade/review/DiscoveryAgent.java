package ferngrade.review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/** Stands in for the agent that tells a node the list of menu workers, whole or as a watch. */
public final class DiscoveryAgent extends LoopbackServer {
  private static final long EMPTY_LINE_INTERVAL_MILLIS = 2000;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Map<String, String> members = new LinkedHashMap<>();

  /** The changes so far; the change at index n leads to revision n + 2. */
  private final List<String> changes = new ArrayList<>();

  /** Creates the agent with its list, which is revision 1. */
  public DiscoveryAgent(List<MenuWorker> workers) throws IOException {
    workers.forEach(worker -> members.put(worker.id(), entry(worker, "active", 0)));
    start();
  }

  private static String entry(MenuWorker worker, String phase, long upSince) {
    return String.format(
        "{\"id\":\"%s\",\"host_port\":\"%s\",\"locality\":\"kandy\",\"flavor\":\"std-5\",\"cell\":0,"
            + "\"phase\":\"%s\",\"size\":%s,\"up_since_ms\":%d}",
        worker.id(), worker.address(), phase, MenuWorker.CORES + ".0", upSince);
  }

  /** Tells a change of one entry to all watches. */
  public void tell(MenuWorker worker, String phase, long upSince) {
    lock.lock();
    try {
      String entry = entry(worker, phase, upSince);
      if (phase.equals("left")) {
        members.remove(worker.id());
      } else {
        members.put(worker.id(), entry);
      }
      changes.add(entry);
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private static String list(int revision, boolean complete, String entries) {
    return String.format(
        "{\"revision\":%d,\"complete\":%b,\"members\":[%s]}%n", revision, complete, entries);
  }

  @Override
  void serve(Socket connection) throws IOException, InterruptedException {
    HttpMessage request = HttpMessage.read(connection.getInputStream());
    if (request == null) {
      return;
    }
    OutputStream out = connection.getOutputStream();
    lock.lock();
    try {
      int revision = changes.size() + 1;
      String whole = list(revision, true, String.join(",", members.values()));
      if (!request.word(1).contains("watch=1")) {
        out.write(
            ("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                    + whole.length()
                    + "\r\n\r\n"
                    + whole)
                .getBytes(StandardCharsets.UTF_8));
        return;
      }
      out.write(
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      writeChunk(out, whole);
      while (true) {
        if (changes.size() + 1 == revision
            && !changed.await(EMPTY_LINE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
          writeChunk(out, "\n");
        }
        while (changes.size() + 1 > revision) {
          writeChunk(out, list(++revision, false, changes.get(revision - 2)));
        }
      }
    } finally {
      lock.unlock();
    }
  }

  private static void writeChunk(OutputStream out, String text) throws IOException {
    out.write(
        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
            .getBytes(StandardCharsets.UTF_8));
  }
}
