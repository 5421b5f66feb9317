package ferngrade.membership;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.membership.MessageAuthenticator.UnsealResult;
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
  private static UnsealResult transmit(
      MessageAuthenticator from, MessageAuthenticator to, byte[] content) {
    UnsealResult first = to.unseal("from", from.seal("to", content));
    return first.answer() == null
        ? first
        : to.unseal("from", from.unseal("to", first.answer()).answer());
  }

  @Test
  void deliversMessageAfterReceiverHasSentItsProcessId() {
    UnsealResult challenge = b.unseal("a", a.seal("b", CONTENT));
    assertEquals(Verdict.GREETED, challenge.verdict());
    assertNull(challenge.content());
    UnsealResult greeted = a.unseal("b", challenge.answer());
    UnsealResult taken = b.unseal("a", greeted.answer());
    assertEquals(Verdict.TAKEN, taken.verdict());
    assertArrayEquals(CONTENT, taken.content());
    assertEquals(Verdict.TAKEN, a.unseal("b", b.seal("a", CONTENT)).verdict());
  }

  @Test
  void rejectsReplayedMessageAlsoAfterRestart() {
    transmit(a, b, CONTENT);
    byte[] frame = a.seal("to", CONTENT);
    assertEquals(Verdict.TAKEN, b.unseal("from", frame).verdict());
    assertEquals(Verdict.REPLAYED, b.unseal("from", frame).verdict());
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD_KEY), 23);
    UnsealResult late = restarted.unseal("somebody", frame);
    assertEquals(Verdict.GREETED, late.verdict());
    assertNull(late.content());
  }

  @Test
  void detectsEveryFlippedBit() {
    transmit(a, b, CONTENT);
    byte[] frame = a.seal("to", CONTENT);
    for (int bit = 0; bit < 8 * frame.length; bit++) {
      byte[] corrupted = frame.clone();
      corrupted[bit / 8] ^= (byte) (1 << bit % 8);
      assertEquals(Verdict.FORGED, b.unseal("from", corrupted).verdict(), "bit " + bit);
    }
    assertEquals(Verdict.FORGED, b.unseal("from", new byte[3]).verdict());
  }

  @Test
  void answersNeitherUnknownKeyNorOtherFleet() {
    for (MessageAuthenticator other :
        List.of(
            new MessageAuthenticator("f", List.of(NEW_KEY), 33),
            new MessageAuthenticator("g", List.of(OLD_KEY), 33),
            new MessageAuthenticator("f", List.of(), 33))) {
      UnsealResult unsealed = b.unseal("x", other.seal("b", CONTENT));
      assertEquals(Verdict.FORGED, unsealed.verdict());
      assertNull(unsealed.answer());
    }
  }

  @Test
  void acceptsBothKeysDuringRotation() {
    MessageAuthenticator changing = new MessageAuthenticator("f", List.of(NEW_KEY, OLD_KEY), 44);
    MessageAuthenticator changed = new MessageAuthenticator("f", List.of(NEW_KEY), 55);
    assertEquals(Verdict.TAKEN, transmit(changed, changing, CONTENT).verdict());
    assertEquals(Verdict.FORGED, changed.unseal("a", a.seal("changed", CONTENT)).verdict());
    MessageAuthenticator before = new MessageAuthenticator("f", List.of(OLD_KEY, NEW_KEY), 66);
    assertEquals(Verdict.TAKEN, transmit(before, changing, CONTENT).verdict());
    assertEquals(Verdict.TAKEN, transmit(changing, before, CONTENT).verdict());
  }

  @Test
  void replayedAnswerDoesNotRedirectSenderToFormerProcess() {
    byte[] oldAnswer = b.unseal("a", a.seal("b", CONTENT)).answer();
    MessageAuthenticator restarted = new MessageAuthenticator("f", List.of(OLD_KEY), 23);
    UnsealResult greeted = a.unseal("b", restarted.unseal("a", a.seal("b", CONTENT)).answer());
    assertEquals(Verdict.TAKEN, restarted.unseal("a", greeted.answer()).verdict());
    assertEquals(Verdict.REPLAYED, a.unseal("b", oldAnswer).verdict());
    assertEquals(Verdict.TAKEN, restarted.unseal("a", a.seal("b", CONTENT)).verdict());
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
