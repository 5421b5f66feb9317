package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The worker list made of a watch's lines. */
class ListCopyTest {
  private final ListCopy copy = new ListCopy();

  private static String line(long revision, boolean complete, String members) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + members
        + "]}";
  }

  @Test
  void changesAreTakenIntoTheWholeAndWhoHasLeftIsTakenOut() {
    copy.take(
        line(
            1,
            true,
            "{\"id\":\"a\",\"phase\":\"active\",\"size\":1.5},{\"id\":\"b\",\"phase\":\"active\"}"));
    copy.take(
        line(2, false, "{\"id\":\"b\",\"phase\":\"leaving\"},{\"id\":\"c\",\"phase\":\"active\"}"));
    copy.take(line(3, false, "{\"id\":\"a\",\"phase\":\"left\"}"));
    assertEquals(
        line(3, true, "{\"id\":\"b\",\"phase\":\"leaving\"},{\"id\":\"c\",\"phase\":\"active\"}"),
        copy.whole());
    copy.take(line(1, true, "{\"id\":\"z\"}"));
    assertEquals(
        line(1, true, "{\"id\":\"z\"}"),
        copy.whole(),
        "a whole list takes the place of all, whatever its number");
  }

  @Test
  void thereIsNoListBeforeAWholeOne() {
    copy.take(line(2, false, "{\"id\":\"b\"}"));
    assertNull(copy.whole());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{",
        "[]",
        "{\"revision\":4}",
        "{\"revision\":4,\"complete\":true,\"members\":[{\"phase\":\"left\"}]}",
        "{\"revision\":4,\"complete\":true,\"members\":[7]}"
      })
  void whatIsNoListChangesNothing(String bad) {
    String before = line(1, true, "{\"id\":\"a\"}");
    copy.take(before);
    assertThrows(RuntimeException.class, () -> copy.take(bad));
    assertEquals(before, copy.whole());
  }
}
