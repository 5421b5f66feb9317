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

/** Guards against forged and replayed messages that are accepted. */
class MessageAuthenticatorTest {
  private static final byte[] OLD_KEY = key("the key of last year");
  private static final byte[] NEW_KEY = key("the key of this year");
  private static final byte[] CONTENT = key("hello");

  private final MessageAuthenticator a = new MessageAuthenticator("f", List.of(OLD_KEY), 11);
  private final MessageAuthenticator b = new MessageAuthenticator("f", List.of(OLD_KEY), 22);

  private static byte[] key(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Sends a message, including the exchange in which the receiver answers with its process id if
   * the sender does not know it.
   */
  private static Opened transmit(
      MessageAuthenticator from, MessageAuthenticator to, byte[] content) {
    Opened first = to.open("from", from.close("to", content));
    return first.answer() == null
        ? first
        : to.open("from", from.open("to", first.answer()).answer());
  }

  @Test
  void deliversMessageAfterReceiverHasSentItsProcessId() {
    Opened challenge = b.open("a", a.close("b", CONTENT));
    assertEquals(Verdict.GREETED, challenge.verdict());
    assertNull(challenge.content());
    Opened greeted = a.open("b", challenge.answer());
    Opened taken = b.open("a", greeted.answer());
    assertEquals(Verdict.TAKEN, taken.verdict());
    assertArrayEquals(CONTENT, taken.content());
    assertEquals(Verdict.TAKEN, a.open("b", b.close("a", CONTENT)).verdict());
  }

  @Test
  void rejectsReplayedMessageAlsoAfterRestart() {
    transmit(a, b, CONTENT);
    byte[] frame = a.close("to", CONTENT);
    assertEquals(Verdict.TAKEN, b.open("from", frame).verdict());
    assertEquals(Verdict.REPLAYED, b.open("from", frame).verdict());
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD_KEY), 23);
    Opened late = restarted.open("somebody", frame);
    assertEquals(Verdict.GREETED, late.verdict());
    assertNull(late.content());
  }

  @Test
  void detectsEveryFlippedBit() {
    transmit(a, b, CONTENT);
    byte[] frame = a.close("to", CONTENT);
    for (int bit = 0; bit < 8 * frame.length; bit++) {
      byte[] corrupted = frame.clone();
      corrupted[bit / 8] ^= (byte) (1 << bit % 8);
      assertEquals(Verdict.FORGED, b.open("from", corrupted).verdict(), "bit " + bit);
    }
    assertEquals(Verdict.FORGED, b.open("from", new byte[3]).verdict());
  }

  @Test
  void answersNeitherUnknownKeyNorOtherFleet() {
    for (MessageAuthenticator other :
        List.of(
            new MessageAuthenticator("f", List.of(NEW_KEY), 33),
            new MessageAuthenticator("g", List.of(OLD_KEY), 33),
            new MessageAuthenticator("f", List.of(), 33))) {
      Opened opened = b.open("x", other.close("b", CONTENT));
      assertEquals(Verdict.FORGED, opened.verdict());
      assertNull(opened.answer());
    }
  }

  @Test
  void acceptsBothKeysDuringRotation() {
    MessageAuthenticator changing = new MessageAuthenticator("f", List.of(NEW_KEY, OLD_KEY), 44);
    MessageAuthenticator changed = new MessageAuthenticator("f", List.of(NEW_KEY), 55);
    assertEquals(Verdict.TAKEN, transmit(changed, changing, CONTENT).verdict());
    assertEquals(Verdict.FORGED, changed.open("a", a.close("changed", CONTENT)).verdict());
    MessageAuthenticator before = new MessageAuthenticator("f", List.of(OLD_KEY, NEW_KEY), 66);
    assertEquals(Verdict.TAKEN, transmit(before, changing, CONTENT).verdict());
    assertEquals(Verdict.TAKEN, transmit(changing, before, CONTENT).verdict());
  }

  @Test
  void replayedAnswerDoesNotRedirectSenderToFormerProcess() {
    byte[] oldAnswer = b.open("a", a.close("b", CONTENT)).answer();
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD_KEY), 23);
    Opened greeted = a.open("b", restarted.open("a", a.close("b", CONTENT)).answer());
    assertEquals(Verdict.TAKEN, restarted.open("a", greeted.answer()).verdict());
    assertEquals(Verdict.REPLAYED, a.open("b", oldAnswer).verdict());
    assertEquals(Verdict.TAKEN, restarted.open("a", a.close("b", CONTENT)).verdict());
  }

  @Property
  void acceptsEachSequenceNumberOnceInAnyOrder(
      @ForAll @Size(max = 200) List<@LongRange(min = 1, max = 300) Long> numbers) {
    ReplayWindow window = new ReplayWindow();
    Set<Long> accepted = new HashSet<>();
    long highest = 0;
    for (long number : numbers) {
      boolean isNew = window.accept(number);
      assertTrue(!isNew || accepted.add(number), number + " was accepted twice");
      assertTrue(
          isNew || accepted.contains(number) || number <= highest - 64,
          number + " was rejected although new");
      highest = Math.max(highest, number);
    }
  }
}
