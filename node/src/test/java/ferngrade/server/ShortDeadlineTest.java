package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a late final answer to a request with little time left, when the worker drops the
 * request without a response.
 */
@Test(timeOut = 30_000)
public class ShortDeadlineTest extends NodeIntegrationFixture {
  @DataProvider
  public Object[][] requests() {
    List<Object[]> requests = new ArrayList<>();
    for (int remainingMillis : new int[] {1, 20, 150}) {
      for (String jobClass : List.of("order", "plan", "draft")) {
        requests.add(new Object[] {remainingMillis, jobClass});
      }
    }
    return requests.toArray(Object[][]::new);
  }

  @Test(dataProvider = "requests")
  public void answersRequestDroppedByItsWorkerAtItsDeadline(int remainingMillis, String jobClass)
      throws Exception {
    start(endpointList(1, "active"), () -> now);
    try (RawHttp client = RawHttp.connect(node.address())) {
      String head =
          jobHead("POST /api", "a", jobClass).replace("9000m", remainingMillis + "m")
              + "\r\nIdempotency-Key: k";
      client.write(RawHttp.message(head, ""));
      String sentDeadline = new RawHttp(worker.accept()).read().headers().get("Req-Deadline");
      assertTrue(Integer.parseInt(sentDeadline.replace("m", "")) <= remainingMillis, sentDeadline);
      advance(remainingMillis + 10);
      assertEquals(client.read().status(), 502);
    }
  }
}
