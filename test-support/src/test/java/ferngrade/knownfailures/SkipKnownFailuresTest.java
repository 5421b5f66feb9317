package ferngrade.knownfailures;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SkipKnownFailuresTest {
  @Test
  void lineNamesItsTestAndNoOther() {
    String line = "a.FirstTest#method | some cause | issue 1";
    assertTrue(SkipKnownFailures.names(line, "a.FirstTest#method"));
    assertFalse(SkipKnownFailures.names(line, "a.FirstTest"));
    assertFalse(SkipKnownFailures.names(line, "a.FirstTest#methodology"));
    assertFalse(SkipKnownFailures.names(line, "some cause"));
    assertTrue(SkipKnownFailures.names("a.FirstTest | cause | issue 1", "a.FirstTest"));
  }
}
