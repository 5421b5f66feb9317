package ferngrade.discovery;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import ferngrade.discovery.JsonObjectFramer.CompleteObject;
import ferngrade.discovery.JsonObjectFramer.Event;
import ferngrade.discovery.JsonObjectFramer.KeepAlive;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against events that depend on how the bytes are split into reads. */
public class JsonObjectFramerTest {
  private static final int MAX_LENGTH = 2_000;
  private static final String OBJECT_WITH_ESCAPES = "{\"a\":\"}]\\\"{\\\\\",\n \"\u00fc\":[{}]}\n";

  @DataProvider
  public Object[][] readSizes() {
    return new Object[][] {{1}, {2}, {3}, {7}, {1000}};
  }

  @Test(dataProvider = "readSizes")
  public void framesObjectsAndBlankLinesForAnyReadSize(int readSize) {
    String object = "{\"b\":1}\r\n";
    List<Event> expected =
        List.of(
            new KeepAlive(),
            new CompleteObject(OBJECT_WITH_ESCAPES),
            new KeepAlive(),
            new CompleteObject(object),
            new CompleteObject(object));
    assertEquals(
        frame(
            new JsonObjectFramer(MAX_LENGTH),
            "\n" + OBJECT_WITH_ESCAPES + " \r\n" + object + object + "{",
            readSize),
        expected);
  }

  @Test(dataProvider = "readSizes")
  public void rejectsAndDiscardsIncompleteOrTooLongObject(int readSize) {
    String tooLong = "{\"a\":\"" + "x".repeat(MAX_LENGTH);
    for (String malformed : new String[] {"{\"a\":\n\n", tooLong}) {
      JsonObjectFramer framer = new JsonObjectFramer(MAX_LENGTH);
      assertThrows(IllegalArgumentException.class, () -> frame(framer, malformed, readSize));
      assertEquals(frame(framer, "{}\n", readSize), List.of(new CompleteObject("{}\n")));
    }
  }

  @Test
  public void acceptsObjectOfMaxLength() {
    String text = "{\"a\":\"" + "x".repeat(MAX_LENGTH - 9) + "\"}\n";
    assertEquals(text.length(), MAX_LENGTH);
    assertEquals(
        frame(new JsonObjectFramer(MAX_LENGTH), text, 100), List.of(new CompleteObject(text)));
  }

  private static List<Event> frame(JsonObjectFramer framer, String text, int readSize) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    List<Event> events = new ArrayList<>();
    for (int start = 0; start < bytes.length; start += readSize) {
      var readBuffer =
          Unpooled.wrappedBuffer(bytes, start, Math.min(readSize, bytes.length - start));
      for (Event event = framer.next(readBuffer); event != null; event = framer.next(readBuffer)) {
        events.add(event);
      }
    }
    return events;
  }
}
