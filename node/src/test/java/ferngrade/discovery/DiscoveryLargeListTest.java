package ferngrade.discovery;

import static org.testng.Assert.assertEquals;

import com.eclipsesource.json.Json;
import com.eclipsesource.json.JsonArray;
import com.eclipsesource.json.JsonObject;
import com.eclipsesource.json.JsonValue;
import com.eclipsesource.json.WriterConfig;
import ferngrade.http.RawHttp;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests lists with the maximum number of workers of a fleet, in each JSON layout and chunk size.
 */
public class DiscoveryLargeListTest extends DiscoveryTestBase {
  private static final int WORKERS = 3_200;
  private static final String SHORT_ID = "s-5be2a07c";
  private static final String LONG_ID = "s-" + "5be2a07c".repeat(20);

  @DataProvider
  public Object[][] layouts() {
    return new Object[][] {
      {SHORT_ID, WriterConfig.MINIMAL, 1},
      {SHORT_ID, WriterConfig.PRETTY_PRINT, 1},
      {SHORT_ID, WriterConfig.MINIMAL, 1 << 16},
      {LONG_ID, WriterConfig.MINIMAL, 1000},
      {LONG_ID, WriterConfig.PRETTY_PRINT, 1 << 16},
    };
  }

  /**
   * Guards against a limit on the list size below the size of a full fleet.
   *
   * @param chunkSize the number of bytes in each chunk of the response
   */
  @Test(dataProvider = "layouts", timeOut = 30_000)
  public void acceptsListOfLargestFleetAndItsChanges(String id, WriterConfig layout, int chunkSize)
      throws Exception {
    try (RawHttp watch = accept(WHOLE_LIST_REQUEST)) {
      CompletableFuture<Void> written =
          CompletableFuture.runAsync(
              () ->
                  write(
                      watch,
                      RESPONSE_HEADER
                          + chunks(
                              list(41, true, id, WORKERS, "active").toString(layout) + "\n",
                              chunkSize)));
      awaitEndpoints(WORKERS);
      written.get();
      watch.write(
          chunks(list(42, false, id, WORKERS - 1, "left").toString(layout) + "\n", chunkSize));
      awaitEndpoints(1);
      watch.write(chunks(list(43, false, id, 2, "active").toString(layout) + "\n", chunkSize));
      awaitEndpoints(3);
    }
  }

  /**
   * Returns {@code count} entries in {@code phase}. A whole list starts at the first worker of the
   * fleet, a list of changes at the second, so that the first worker keeps its phase.
   */
  private static JsonObject list(long revision, boolean whole, String id, int count, String phase) {
    JsonArray members = Json.array().asArray();
    int first = whole ? 0 : 1;
    for (int i = first; i < first + count; i++) {
      members.add(entry(id + i, i, phase));
    }
    return Json.object().add("revision", revision).add("complete", whole).add("members", members);
  }

  private static JsonValue entry(String id, int index, String phase) {
    return Json.object()
        .add("id", id)
        .add("host_port", "10.1." + index / 250 + "." + (1 + index % 250) + ":8081")
        .add("locality", "a")
        .add("flavor", "m2")
        .add("cell", index % 7)
        .add("phase", phase)
        .add("size", 1.0)
        .add("up_since_ms", 1_700_000_000_000L);
  }

  private static String chunks(String text, int chunkSize) {
    StringBuilder chunks = new StringBuilder();
    for (int start = 0; start < text.length(); start += chunkSize) {
      chunks.append(chunk(text.substring(start, Math.min(text.length(), start + chunkSize))));
    }
    return chunks.toString();
  }

  private static void write(RawHttp watch, String text) {
    try {
      watch.write(text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void awaitEndpoints(int count) throws Exception {
    while (loop.submit(() -> node.metrics().known()).get() != count) {
      Thread.onSpinWait();
    }
    assertEquals(loop.submit(node::ready).get(), Boolean.TRUE);
  }
}
