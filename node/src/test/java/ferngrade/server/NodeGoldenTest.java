package ferngrade.server;

import static org.testng.Assert.assertEquals;

import ferngrade.golden.GoldenFile;
import ferngrade.http.RawBytes;
import ferngrade.http.RawHttp;
import java.net.Socket;
import org.testng.annotations.Test;

/** What a node sends to workers and clients keeps the bytes that an earlier version sent. */
@Test(timeOut = 30_000)
public class NodeGoldenTest extends NodeIntegrationFixture {
  private static final GoldenFile GOLDEN = GoldenFile.open("node-http.txt");
  private static final String ACCEPTED = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";

  /** A node whose clock stands still, so that deadlines are the same in each run. */
  private void startOnAStandingClock() throws Exception {
    start(list(1, "active"), () -> now);
  }

  private Socket client() throws Exception {
    return new Socket(node.address().getAddress(), node.address().getPort());
  }

  @Test
  public void aJobFromItsRequestToItsAnswer() throws Exception {
    startOnAStandingClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(job("POST /api?x=1", "a-1", "order"), "payload"));
      try (Socket sent = worker.accept()) {
        GOLDEN.verifyLines("job-to-worker", RawBytes.read(sent));
        RawBytes.write(sent, ACCEPTED);
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
  public void aJobWithAKey() throws Exception {
    startOnAStandingClock();
    try (Socket client = client()) {
      RawBytes.write(
          client,
          RawHttp.message(job("POST /api", "a-2", "plan") + "\r\nIdempotency-Key: k-1", "payload"));
      try (Socket sent = worker.accept()) {
        GOLDEN.verifyLines("keyed-job-to-worker", RawBytes.read(sent));
      }
    }
  }

  @Test
  public void answersToCallsThatAreNoJobs() throws Exception {
    startOnAStandingClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(job("POST /api", "a-4", "unknown"), "payload"));
      GOLDEN.verifyLines("answer-bad-request", RawBytes.read(client));
    }
    try (Socket client = client()) {
      RawBytes.write(client, "GET /-/ready HTTP/1.1\r\n\r\n");
      GOLDEN.verifyLines("answer-ready", RawBytes.read(client));
    }
  }

  @Test
  public void aJobThatItsWorkerFails() throws Exception {
    startOnAStandingClock();
    try (Socket client = client()) {
      RawBytes.write(client, RawHttp.message(job("POST /api", "a-5", "order"), "payload"));
      try (Socket sent = worker.accept()) {
        RawBytes.read(sent);
        RawBytes.write(sent, ACCEPTED);
        assertEquals(callBack("a-5", "\"state\":\"failed\""), 204);
        GOLDEN.verifyLines("answer-failed", RawBytes.read(client));
      }
    }
  }
}
