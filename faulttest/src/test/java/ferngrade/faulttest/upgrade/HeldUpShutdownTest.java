package ferngrade.faulttest.upgrade;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.knownfailures.SkipKnownFailures;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are lost if a process is suspended when its SIGTERM arrives. */
@ExtendWith(SkipKnownFailures.class)
class HeldUpShutdownTest {
  private static final int WORKERS = 2;
  private static final int CLIENTS = 6;

  /**
   * The run time of each job, ms. It exceeds all deadlines, so that all requests are still open at
   * the end.
   */
  private static final int RUNTIME_MILLIS = 20_000;

  private static final String DEADLINE = "3000m";

  /** The earliest time at which the last requests are sent, ms after SIGTERM. */
  private static final double LAST_REQUEST_MILLIS = 800;

  /**
   * The time at which the last requests are sent, ms after the process resumes. The process still
   * accepts requests then.
   */
  private static final double LAST_REQUEST_AFTER_RESUME_MILLIS = 300;

  /** The time of SIGKILL, ms after SIGTERM. */
  private static final double KILL_MILLIS = 3700;

  private UpgradeRun run;

  @BeforeEach
  void startRun() throws Exception {
    WorkerBehaviour slow =
        new WorkerBehaviour(RUNTIME_MILLIS, RUNTIME_MILLIS, Integer.MAX_VALUE, 0, false);
    run =
        new UpgradeRun(
            UpgradeRun.currentProgramCommand(),
            new RunSettings(new NodeLimits(256, 384), WORKERS, slow, 1000));
  }

  @AfterEach
  void endRun() {
    run.close();
  }

  /**
   * {@code stopped} is the time in ms for which the process is suspended. The time is counted from
   * SIGTERM.
   */
  @ParameterizedTest
  @ValueSource(doubles = {300, 500, 1000})
  void answersRequestsBeforeTheKillThatIsTimedFromTheSignal(double stopped) throws Exception {
    ServingProcess process = run.start();
    run.awaitReady(process);
    List<HttpConnection> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(connectAndSendOneRequest(i));
    }
    run.signal(process, "STOP");
    run.signal(process, "TERM");
    double signalled = run.observations().now();
    sleepUntil(signalled + stopped);
    run.signal(process, "CONT");
    sleepUntil(
        signalled + Math.max(LAST_REQUEST_MILLIS, stopped + LAST_REQUEST_AFTER_RESUME_MILLIS));
    List<Boolean> written = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      written.add(write(clients.get(i), CLIENTS + i));
    }
    List<String> lost = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      double remaining = signalled + KILL_MILLIS - run.observations().now();
      if (written.get(i) && !answered(clients.get(i), remaining)) {
        lost.add("request " + i);
      }
    }
    String timeline =
        run.observations().steps().stream().map(Object::toString).collect(Collectors.joining("\n"));
    assertEquals(List.of(), lost, timeline);
  }

  /**
   * Opens a connection and sends one request on it. The answer shows that the node has not closed
   * the connection.
   */
  private HttpConnection connectAndSendOneRequest(int number) throws IOException {
    HttpConnection client = new HttpConnection(run.clients(), 1000);
    client.write("GET /-/ready", "", "");
    assertTrue(client.read(2000).status() == 200, "client " + number);
    return client;
  }

  /**
   * Writes a request. Returns false if the node has closed the connection; the node may do this
   * between requests.
   */
  private static boolean write(HttpConnection client, int number) {
    if (client.endedByPeer()) {
      return false;
    }
    String headers =
        String.format(
            "Req-Id: %016x\r\nReq-Kind: draft\r\nReq-Owner: tenant\r\nReq-Deadline: %s\r\n",
            number, DEADLINE);
    try {
      client.write("POST /api", headers, "");
      return true;
    } catch (IOException closed) {
      return false;
    }
  }

  private static boolean answered(HttpConnection client, double timeout) {
    try {
      return client.read((long) timeout).status() > 0;
    } catch (IOException unanswered) {
      return false;
    }
  }

  private void sleepUntil(double instant) throws InterruptedException {
    Thread.sleep((long) Math.max(1, instant - run.observations().now()));
  }
}
