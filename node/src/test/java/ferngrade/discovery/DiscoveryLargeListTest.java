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

/** Lists of as many workers as a fleet may have, in each form they may come in. */
public class DiscoveryLargeListTest extends DiscoveryStory {
  private static final int WORKERS = 3_200;
  private static final String SHORT_ID = "s-5be2a07c";
  private static final String LONG_ID = "s-" + "5be2a07c".repeat(20);

  @DataProvider
  public Object[][] forms() {
    return new Object[][] {
      {SHORT_ID, WriterConfig.MINIMAL, 1},
      {SHORT_ID, WriterConfig.PRETTY_PRINT, 1},
      {SHORT_ID, WriterConfig.MINIMAL, 1 << 16},
      {LONG_ID, WriterConfig.MINIMAL, 1000},
      {LONG_ID, WriterConfig.PRETTY_PRINT, 1 << 16},
    };
  }

  /** {@code piece}: bytes in a chunk of the answer. */
  @Test(dataProvider = "forms", timeOut = 30_000)
  public void listOfAWholeFleetAndItsChangesAreTaken(String id, WriterConfig form, int piece)
      throws Exception {
    try (RawHttp watch = accept(WHOLE)) {
      CompletableFuture<Void> written =
          CompletableFuture.runAsync(
              () ->
                  write(
                      watch,
                      HEAD
                          + chunks(
                              list(41, true, id, WORKERS, "active").toString(form) + "\n", piece)));
      awaitMembers(WORKERS);
      written.get();
      watch.write(chunks(list(42, false, id, WORKERS - 1, "left").toString(form) + "\n", piece));
      awaitMembers(1);
      watch.write(chunks(list(43, false, id, 2, "active").toString(form) + "\n", piece));
      awaitMembers(3);
    }
  }

  /**
   * The first entries of the fleet's list in this phase, from the second on if some are to stay as
   * they are.
   */
  private static JsonObject list(long revision, boolean whole, String id, int count, String phase) {
    JsonArray members = Json.array().asArray();
    int first = whole ? 0 : 1;
    for (int i = first; i < first + count; i++) {
      members.add(entry(id + i, i, phase));
    }
    return Json.object().add("revision", revision).add("complete", whole).add("members", members);
  }

  private static JsonValue entry(String id, int number, String phase) {
    return Json.object()
        .add("id", id)
        .add("host_port", "10.1." + number / 250 + "." + (1 + number % 250) + ":8081")
        .add("locality", "a")
        .add("flavor", "m2")
        .add("cell", number % 7)
        .add("phase", phase)
        .add("size", 1.0)
        .add("up_since_ms", 1_700_000_000_000L);
  }

  private static String chunks(String text, int piece) {
    StringBuilder chunks = new StringBuilder();
    for (int at = 0; at < text.length(); at += piece) {
      chunks.append(chunk(text.substring(at, Math.min(text.length(), at + piece))));
    }
    return chunks.toString();
  }

  private static void write(RawHttp watch, String text) {
    try {
      watch.write(text);
    } catch (IOException broken) {
      throw new UncheckedIOException(broken);
    }
  }

  private void awaitMembers(int count) throws Exception {
    while (loop.submit(() -> node.metrics().known()).get() != count) {
      Thread.onSpinWait();
    }
    assertEquals(loop.submit(node::ready).get(), Boolean.TRUE);
  }
}
