package ferngrade.server;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ferngrade.http.RawHttp;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * A request with little time left, at a worker that drops it without a word, gets its final answer
 * in time.
 */
@Test(timeOut = 30_000)
public class LittleTimeTest extends NodeIntegrationFixture {
  @DataProvider
  public Object[][] requests() {
    List<Object[]> requests = new ArrayList<>();
    for (int left : new int[] {1, 20, 150}) {
      for (String jobClass : List.of("order", "plan", "draft")) {
        requests.add(new Object[] {left, jobClass});
      }
    }
    return requests.toArray(Object[][]::new);
  }

  @Test(dataProvider = "requests")
  public void requestThatItsWorkerDropsIsAnsweredAtItsEnd(int left, String jobClass)
      throws Exception {
    start(list(1, "active"), () -> now);
    try (RawHttp client = RawHttp.to(node.address())) {
      String head =
          job("POST /api", "a", jobClass).replace("9000m", left + "m") + "\r\nIdempotency-Key: k";
      client.write(RawHttp.message(head, ""));
      String told = new RawHttp(worker.accept()).read().headers().get("Req-Deadline");
      assertTrue(Integer.parseInt(told.replace("m", "")) <= left, told);
      advance(left + 10);
      assertEquals(client.read().status(), 502);
    }
  }
}
