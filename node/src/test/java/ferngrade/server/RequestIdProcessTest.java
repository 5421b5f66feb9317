package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.http.RawHttp;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Guards against a request id that two processes of a node send to workers. */
@Test(timeOut = 60_000)
public class RequestIdProcessTest extends SharedSocketFixture {
  private static final String BAD_REQUEST = "HTTP/1.1 400 Bad Request";
  private static final String UNAVAILABLE = "HTTP/1.1 503 Service Unavailable";

  /** The maximum time until the end of a process is detected, in ms. */
  private static final long MAX_END_DETECTION_MILLIS = 10_000;

  private ServingProcess predecessor;
  private ServingProcess successor;

  /** Guards against an id that is open at a process which does not answer. */
  @Test
  public void idOpenAtASuspendedPredecessorIsRejected() throws Exception {
    try (RawHttp first = startPredecessorWithClient()) {
      send(first, "a");
      acceptJob("a");
      startSuccessor();
      signal("STOP", predecessor);
      try (RawHttp second = RawHttp.connect(clients)) {
        send(second, "a");
        assertEquals(second.read().startLine(), BAD_REQUEST);
      }
      signal("CONT", predecessor);
      assertEquals(statusAfterRetries("a"), 204);
      assertEquals(first.read().body(), "soup");
    }
  }

  /** Guards against an id that is open at the successor and then arrives at the predecessor. */
  @Test
  public void idOpenAtTheSuccessorIsRejectedByThePredecessor() throws Exception {
    try (RawHttp first = startPredecessorWithClient()) {
      startSuccessor();
      try (RawHttp second = sendToSuccessor("b")) {
        signal("CONT", predecessor);
        send(first, "b");
        assertEquals(first.read().startLine(), BAD_REQUEST);
        assertEquals(statusAfterRetries("b"), 204);
        assertEquals(second.read().body(), "soup");
      }
    }
  }

  /** Guards against a process that sends, or takes callbacks for, an id it could not claim. */
  @Test
  public void predecessorSendsNothingWhileTheSuccessorIsSuspended() throws Exception {
    try (RawHttp first = startPredecessorWithClient()) {
      startSuccessor();
      try (RawHttp second = sendToSuccessor("c")) {
        signal("STOP", successor);
        signal("CONT", predecessor);
        send(first, "c");
        assertEquals(sendCallback(clients, "c", DONE), 503, "a callback of the other process");
        assertEquals(first.read().startLine(), UNAVAILABLE);
        signal("CONT", successor);
        assertEquals(statusAfterRetries("c"), 204);
        assertEquals(second.read().body(), "soup");
      }
      successor.handle().destroyForcibly();
      successor.handle().onExit().get(20, TimeUnit.SECONDS);
      send(first, "d");
      acceptJob("d");
      assertEquals(statusAfterRetries("d"), 204);
      assertEquals(first.read().body(), "soup");
    }
  }

  /**
   * Guards against an id that has finished at a successor which is ended before its predecessor.
   */
  @Test
  public void idFinishedAtAnEndedSuccessorIsRejected() throws Exception {
    try (RawHttp first = startPredecessorWithClient()) {
      startSuccessor();
      try (RawHttp second = sendToSuccessor("e")) {
        signal("CONT", predecessor);
        assertEquals(statusAfterRetries("e"), 204);
        assertEquals(second.read().body(), "soup");
      }
      signal("TERM", successor);
      successor.handle().onExit().get(20, TimeUnit.SECONDS);
      send(first, "e");
      assertEquals(first.read().startLine(), BAD_REQUEST);
    }
  }

  /** Starts the predecessor and returns a trusted connection to it. */
  private RawHttp startPredecessorWithClient() throws Exception {
    startPlatform();
    predecessor = startProcess();
    RawHttp client = RawHttp.connect(clients);
    send(client, "first");
    acceptJob("first");
    assertEquals(sendCallback(clients, "first", DONE), 204);
    assertEquals(client.read().body(), "soup");
    return client;
  }

  private void startSuccessor() throws Exception {
    successor = startProcess();
  }

  /** Sends a job on a connection of the successor, and leaves the predecessor suspended. */
  private RawHttp sendToSuccessor(String id) throws Exception {
    signal("STOP", predecessor);
    RawHttp client = RawHttp.connect(clients);
    send(client, id);
    acceptJob(id);
    return client;
  }

  private static void send(RawHttp client, String id) throws IOException {
    client.write(RawHttp.message(jobHead("POST /api", id, "order"), ""));
  }

  private static void signal(String name, ServingProcess process) throws Exception {
    String pid = Long.toString(process.handle().pid());
    assertEquals(new ProcessBuilder("kill", "-" + name, pid).start().waitFor(), 0);
  }

  private int statusAfterRetries(String id) throws IOException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_END_DETECTION_MILLIS);
    int status = sendCallback(clients, id, DONE);
    while (status == 503 && System.nanoTime() < end) {
      status = sendCallback(clients, id, DONE);
    }
    return status;
  }
}
