package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.golden.GoldenFile;
import ferngrade.http.RawBytes;
import ferngrade.http.RawHttp;
import java.net.Socket;
import org.testng.annotations.Test;

/** Checks that the bytes sent to workers and clients match those of an earlier version. */
@Test(timeOut = 30_000)
public class NodeGoldenTest extends NodeIntegrationFixture {
  private static final GoldenFile GOLDEN = GoldenFile.open("node-http.txt");
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

  /** Starts a node whose clock does not advance, so that deadlines are the same in each run. */
  private void startWithFixedClock() throws Exception {
    start(endpointList(1, "active"), () -> now);
  }

  private Socket client() throws Exception {
    return new Socket(node.address().getAddress(), node.address().getPort());
  }

  @Test
  public void jobFromRequestToAnswer() throws Exception {
    startWithFixedClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(jobHead("POST /api?x=1", "a-1", "order"), "payload"));
      try (Socket workerConnection = worker.accept()) {
        GOLDEN.verifyLines("job-to-worker", RawBytes.read(workerConnection));
        RawBytes.write(workerConnection, ACCEPTED);
        try (Socket caller = client()) {
          RawBytes.write(
              caller,
              RawHttp.message(
                  "POST /_jobs/news HTTP/1.1",
                  "{\"id\":\"a-1\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"soup\"}"));
          GOLDEN.verifyLines("answer-to-worker", RawBytes.read(caller));
        }
        GOLDEN.verifyLines("answer-served", RawBytes.read(client));
      }
    }
  }

  @Test
  public void jobWithIdempotencyKey() throws Exception {
    startWithFixedClock();
    try (Socket client = client()) {
      RawBytes.write(
          client,
          RawHttp.message(
              jobHead("POST /api", "a-2", "plan") + "\r\nIdempotency-Key: k-1", "payload"));
      try (Socket workerConnection = worker.accept()) {
        GOLDEN.verifyLines("keyed-job-to-worker", RawBytes.read(workerConnection));
      }
    }
  }

  @Test
  public void answersToRequestsThatAreNoJobs() throws Exception {
    startWithFixedClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(jobHead("POST /api", "a-4", "unknown"), "payload"));
      GOLDEN.verifyLines("answer-bad-request", RawBytes.read(client));
    }
    try (Socket client = client()) {
      RawBytes.write(client, "GET /-/ready HTTP/1.1\r\n\r\n");
      GOLDEN.verifyLines("answer-ready", RawBytes.read(client));
    }
  }

  @Test
  public void jobThatFailsAtItsWorker() throws Exception {
    startWithFixedClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(jobHead("POST /api", "a-5", "order"), "payload"));
      try (Socket workerConnection = worker.accept()) {
        RawBytes.read(workerConnection);
        RawBytes.write(workerConnection, ACCEPTED);
        assertEquals(sendCallback("a-5", "\"state\":\"failed\""), 204);
        GOLDEN.verifyLines("answer-failed", RawBytes.read(client));
      }
    }
  }
}
