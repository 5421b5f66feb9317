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

/** The framer alone: what it makes of bytes, however they are cut. */
public class JsonObjectFramerTest {
  private static final int MAX_LENGTH = 2_000;
  private static final String TRICKY = "{\"a\":\"}]\\\"{\\\\\",\n \"\u00fc\":[{}]}\n";

  @DataProvider
  public Object[][] pieces() {
    return new Object[][] {{1}, {2}, {3}, {7}, {1000}};
  }

  @Test(dataProvider = "pieces")
  public void objectsAndBlankLinesComeOutAsTheyWentInHoweverTheBytesAreCut(int piece) {
    String one = "{\"b\":1}\r\n";
    List<Event> expected =
        List.of(
            new KeepAlive(),
            new CompleteObject(TRICKY),
            new KeepAlive(),
            new CompleteObject(one),
            new CompleteObject(one));
    assertEquals(
        frame(new JsonObjectFramer(MAX_LENGTH), "\n" + TRICKY + " \r\n" + one + one + "{", piece),
        expected);
  }

  @Test(dataProvider = "pieces")
  public void objectThatBreaksOffOrIsTooLongIsAnErrorOnceAndNothingOfItIsKept(int piece) {
    String tooLong = "{\"a\":\"" + "x".repeat(MAX_LENGTH);
    for (String broken : new String[] {"{\"a\":\n\n", tooLong}) {
      JsonObjectFramer framer = new JsonObjectFramer(MAX_LENGTH);
      assertThrows(IllegalArgumentException.class, () -> frame(framer, broken, piece));
      assertEquals(frame(framer, "{}\n", piece), List.of(new CompleteObject("{}\n")));
    }
  }

  @Test
  public void objectOfTheGreatestLengthIsTaken() {
    String text = "{\"a\":\"" + "x".repeat(MAX_LENGTH - 9) + "\"}\n";
    assertEquals(text.length(), MAX_LENGTH);
    assertEquals(
        frame(new JsonObjectFramer(MAX_LENGTH), text, 100), List.of(new CompleteObject(text)));
  }

  private static List<Event> frame(JsonObjectFramer framer, String text, int piece) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    List<Event> events = new ArrayList<>();
    for (int at = 0; at < bytes.length; at += piece) {
      var read = Unpooled.wrappedBuffer(bytes, at, Math.min(piece, bytes.length - at));
      for (Event event = framer.next(read); event != null; event = framer.next(read)) {
        events.add(event);
      }
    }
    return events;
  }
}
