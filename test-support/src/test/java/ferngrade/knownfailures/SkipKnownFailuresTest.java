package ferngrade.knownfailures;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against an entry of the list that skips tests other than its own. */
class SkipKnownFailuresTest {
  @Test
  void entryMatchesOnlyItsOwnTest() {
    String line = "a.FirstTest#method | some cause | issue 1";
    assertTrue(SkipKnownFailures.isEntryFor(line, "a.FirstTest#method"));
    assertFalse(SkipKnownFailures.isEntryFor(line, "a.FirstTest"));
    assertFalse(SkipKnownFailures.isEntryFor(line, "a.FirstTest#methodology"));
    assertFalse(SkipKnownFailures.isEntryFor(line, "some cause"));
    assertTrue(SkipKnownFailures.isEntryFor("a.FirstTest | cause | issue 1", "a.FirstTest"));
  }
}
