package ferngrade.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.membership.MessageAuthenticator.Opened;
import ferngrade.membership.MessageAuthenticator.Verdict;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** What proves who has sent a message. */
class MessageAuthenticatorTest {
  private static final byte[] OLD = key("the key of last year");
  private static final byte[] NEW = key("the key of this year");
  private static final byte[] WORD = key("hello");

  private final MessageAuthenticator a = new MessageAuthenticator("f", List.of(OLD), 11);
  private final MessageAuthenticator b = new MessageAuthenticator("f", List.of(OLD), 22);

  private static byte[] key(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /** A's word to B, B telling A which process it is where A does not know. */
  private static Opened pass(MessageAuthenticator from, MessageAuthenticator to, byte[] word) {
    Opened first = to.open("from", from.close("to", word));
    return first.answer() == null
        ? first
        : to.open("from", from.open("to", first.answer()).answer());
  }

  @Test
  void aWordArrivesOnceTheOtherEndHasSaidWhichProcessItIs() {
    Opened first = b.open("a", a.close("b", WORD));
    assertEquals(Verdict.GREETED, first.verdict());
    assertNull(first.content());
    Opened greeted = a.open("b", first.answer());
    Opened taken = b.open("a", greeted.answer());
    assertEquals(Verdict.TAKEN, taken.verdict());
    assertArrayEquals(WORD, taken.content());
    assertEquals(Verdict.TAKEN, a.open("b", b.close("a", WORD)).verdict());
  }

  @Test
  void whatCameBeforeIsRefusedAlsoByTheNextProcess() {
    pass(a, b, WORD);
    byte[] frame = a.close("to", WORD);
    assertEquals(Verdict.TAKEN, b.open("from", frame).verdict());
    assertEquals(Verdict.REPLAYED, b.open("from", frame).verdict());
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD), 23);
    Opened late = restarted.open("somebody", frame);
    assertEquals(Verdict.GREETED, late.verdict());
    assertNull(late.content());
  }

  @Test
  void everyBitThatIsTurnedOverIsFound() {
    pass(a, b, WORD);
    byte[] frame = a.close("to", WORD);
    for (int bit = 0; bit < 8 * frame.length; bit++) {
      byte[] bad = frame.clone();
      bad[bit / 8] ^= (byte) (1 << bit % 8);
      assertEquals(Verdict.FORGED, b.open("from", bad).verdict(), "bit " + bit);
    }
    assertEquals(Verdict.FORGED, b.open("from", new byte[3]).verdict());
  }

  @Test
  void aStrangerIsNotAnsweredAndNeitherIsAnotherFleet() {
    for (MessageAuthenticator other :
        List.of(
            new MessageAuthenticator("f", List.of(NEW), 33),
            new MessageAuthenticator("g", List.of(OLD), 33),
            new MessageAuthenticator("f", List.of(), 33))) {
      Opened opened = b.open("x", other.close("b", WORD));
      assertEquals(Verdict.FORGED, opened.verdict());
      assertNull(opened.answer());
    }
  }

  @Test
  void twoKeysCountWhileOneTakesTheOthersPlace() {
    MessageAuthenticator changing = new MessageAuthenticator("f", List.of(NEW, OLD), 44);
    MessageAuthenticator changed = new MessageAuthenticator("f", List.of(NEW), 55);
    assertEquals(Verdict.TAKEN, pass(changed, changing, WORD).verdict());
    assertEquals(Verdict.FORGED, changed.open("a", a.close("changed", WORD)).verdict());
    MessageAuthenticator before = new MessageAuthenticator("f", List.of(OLD, NEW), 66);
    assertEquals(Verdict.TAKEN, pass(before, changing, WORD).verdict());
    assertEquals(Verdict.TAKEN, pass(changing, before, WORD).verdict());
  }

  @Test
  void anAnswerThatSomebodyKeptDoesNotTurnTheSenderToAnOldProcess() {
    byte[] oldAnswer = b.open("a", a.close("b", WORD)).answer();
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD), 23);
    Opened greeted = a.open("b", restarted.open("a", a.close("b", WORD)).answer());
    assertEquals(Verdict.TAKEN, restarted.open("a", greeted.answer()).verdict());
    assertEquals(Verdict.REPLAYED, a.open("b", oldAnswer).verdict());
    assertEquals(Verdict.TAKEN, restarted.open("a", a.close("b", WORD)).verdict());
  }

  @Property
  void eachNumberCountsOnceInWhateverOrder(
      @ForAll @Size(max = 200) List<@LongRange(min = 1, max = 300) Long> numbers) {
    ReplayWindow window = new ReplayWindow();
    Set<Long> before = new HashSet<>();
    long highest = 0;
    for (long each : numbers) {
      boolean first = window.first(each);
      assertTrue(!first || before.add(each), each + " counted twice");
      assertTrue(
          first || before.contains(each) || each <= highest - 64, each + " was refused though new");
      highest = Math.max(highest, each);
    }
  }
}
