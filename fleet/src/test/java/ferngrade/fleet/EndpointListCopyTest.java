package ferngrade.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an endpoint list that misses a change or is corrupted by an invalid line. */
class EndpointListCopyTest {
  private final EndpointListCopy copy = new EndpointListCopy();

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
  void appliesChangesAndRemovesMembersThatLeft() {
    copy.apply(
        line(
            1,
            true,
            "{\"id\":\"a\",\"phase\":\"active\",\"size\":1.5},{\"id\":\"b\",\"phase\":\"active\"}"));
    copy.apply(
        line(2, false, "{\"id\":\"b\",\"phase\":\"leaving\"},{\"id\":\"c\",\"phase\":\"active\"}"));
    copy.apply(line(3, false, "{\"id\":\"a\",\"phase\":\"left\"}"));
    assertEquals(
        line(3, true, "{\"id\":\"b\",\"phase\":\"leaving\"},{\"id\":\"c\",\"phase\":\"active\"}"),
        copy.fullList());
    copy.apply(line(1, true, "{\"id\":\"z\"}"));
    assertEquals(
        line(1, true, "{\"id\":\"z\"}"),
        copy.fullList(),
        "a complete list replaces the list even if its revision is lower");
  }

  @Test
  void returnsNullBeforeCompleteListIsApplied() {
    copy.apply(line(2, false, "{\"id\":\"b\"}"));
    assertNull(copy.fullList());
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
  void invalidLineChangesNothing(String invalid) {
    String before = line(1, true, "{\"id\":\"a\"}");
    copy.apply(before);
    assertThrows(RuntimeException.class, () -> copy.apply(invalid));
    assertEquals(before, copy.fullList());
  }
}
