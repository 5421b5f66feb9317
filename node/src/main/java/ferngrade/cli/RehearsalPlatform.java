package ferngrade.cli;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Locale;

/**
 * Simulates discovery and one worker for a {@link Rehearsal}, on one loopback socket with one
 * thread per connection. The body of a job selects how the worker handles the job.
 */
final class RehearsalPlatform implements AutoCloseable {
  /** How the worker handles a job; the name of the constant is the body of the job. */
  enum JobKind {
    /** The worker accepts the job and completes it. */
    DONE,
    /** The worker accepts the job and reports a failure. */
    FAILED,
    /** The worker rejects the job because it has no capacity. */
    FULL,
    /** The worker accepts the job and never reports an outcome. */
    SILENT
  }

  static final String WORKER = "s-rehearsal";
  private static final String CALLBACK_REQUEST = "POST /_jobs/news HTTP/1.1\r\nHost: node";

  private final ServerSocket socket = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
  private volatile InetSocketAddress nodeAddress;

  RehearsalPlatform() throws IOException {
    startThread(this::acceptConnections);
  }

  /** Sets the address that the worker sends its callbacks to. */
  void setNodeAddress(InetSocketAddress address) {
    nodeAddress = address;
  }

  String address() {
    return socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "rehearsal");
    thread.setDaemon(true);
    thread.start();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket accepted = socket.accept();
        startThread(() -> serve(accepted));
      }
    } catch (IOException closed) {
      // close() has closed the socket at the end of the rehearsal.
    }
  }

  private void serve(Socket accepted) {
    try (RehearsalConnection connection = new RehearsalConnection(accepted)) {
      RehearsalConnection.Message message = connection.read();
      while (message != null) {
        respond(connection, message);
        message = connection.read();
      }
    } catch (IOException closed) {
      // The node has closed the connection, or the read has timed out.
    }
  }

  private void respond(RehearsalConnection connection, RehearsalConnection.Message message)
      throws IOException {
    if (message.startLine().startsWith("GET /api/targets")) {
      connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      connection.write(chunk(list(1, true))).write(chunk("\n")).write(chunk(list(2, false)));
    } else if (!message.startLine().startsWith("POST") || message.id().isEmpty()) {
      connection.write("HTTP/1.1 200 OK", "");
    } else {
      runJob(connection, message);
    }
  }

  private void runJob(RehearsalConnection connection, RehearsalConnection.Message message)
      throws IOException {
    JobKind kind = JobKind.valueOf(message.body());
    if (kind == JobKind.FULL) {
      connection.write("HTTP/1.1 503 Service Unavailable", "");
      return;
    }
    connection.write("HTTP/1.1 202 Accepted", "");
    if (kind != JobKind.SILENT) {
      sendCallback(message.id(), "\"started\"");
      sendCallback(
          message.id(), "\"" + kind.name().toLowerCase(Locale.ROOT) + "\",\"result\":\"r\"");
    }
  }

  private void sendCallback(String id, String state) throws IOException {
    try (RehearsalConnection connection = RehearsalConnection.connect(nodeAddress)) {
      String body = "{\"id\":\"" + id + "\",\"from\":\"" + WORKER + "\",\"state\":" + state + "}";
      connection.write(CALLBACK_REQUEST, body).read();
    }
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private String list(int revision, boolean complete) {
    return String.format(
        Locale.ROOT,
        "{\"revision\":%d,\"complete\":%b,\"members\":[{\"id\":\"%s\",\"host_port\":\"%s\","
            + "\"locality\":\"here\",\"flavor\":\"toy\",\"cell\":0,\"phase\":\"active\","
            + "\"size\":1.0,\"up_since_ms\":0}]}%n",
        revision,
        complete,
        WORKER,
        address());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
