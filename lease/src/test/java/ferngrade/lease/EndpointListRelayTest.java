package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.lease.EndpointListRelay.Fed;
import ferngrade.lease.EndpointListRelay.Whole;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/** Who asks for the worker list, and what the others make of what they are fed. */
class EndpointListRelayTest {
  private static final OptionalLong NOT = OptionalLong.empty();

  private final List<String> passed = new ArrayList<>();
  private final List<Fed> fed = new ArrayList<>();
  private final List<Whole> asked = new ArrayList<>();
  private final EndpointListRelay list =
      new EndpointListRelay(
          0,
          new EndpointListRelay.Actions() {
            @Override
            public void ask() {}

            @Override
            public void stopAsking() {}

            @Override
            public void pass(String line) {
              passed.add(line);
            }

            @Override
            public String whole() {
              return passed.isEmpty() ? null : "all of " + passed;
            }

            @Override
            public void feed(Fed line) {
              fed.add(line);
            }

            @Override
            public void askWhole(Whole whole) {
              asked.add(whole);
            }
          });

  @Test
  void theOwnerAsksAndFeedsEachLineWithItsNumber() {
    list.look(10, OptionalLong.of(4));
    assertTrue(list.asking());
    list.told(20, "one");
    list.told(30, "");
    list.told(40, "two");
    assertEquals(
        List.of(new Fed(4, 1, "one", 0), new Fed(4, 2, "two", 0)),
        fed.stream().filter(each -> !each.line().isEmpty()).toList());
    list.look(400, OptionalLong.of(4));
    assertEquals(new Fed(4, 2, "", 360), fed.get(fed.size() - 1));
    assertEquals(2, list.whole(500, new Whole(4)).number());
    assertNull(list.whole(500, new Whole(3)));
  }

  @Test
  void oneThatIsFedDoesNotAskAndOneThatHearsNobodyDoes() {
    list.look(100, NOT);
    assertFalse(list.asking());
    list.fed(200, new Fed(4, 1, "one", 50));
    assertEquals(350, list.age(500));
    list.look(1_600, NOT);
    assertFalse(list.asking());
    list.look(1_800, NOT);
    assertTrue(list.asking(), "nobody was heard for a second and a half");
    list.told(1_900, "own");
    assertEquals(List.of("one", "own"), passed);
    assertTrue(fed.isEmpty(), "who is no owner feeds nobody");
    list.fed(2_000, new Fed(5, 1, "next", 0));
    list.look(2_010, NOT);
    assertFalse(list.asking());
    list.told(2_020, "late");
    assertEquals(List.of("one", "own", "next"), passed);
  }

  @Test
  void anOwnerThatWakesUpLateTellsNobodyItsOldList() {
    list.fed(0, new Fed(5, 1, "new", 0));
    list.fed(10, new Fed(4, 1, "old", 0));
    list.fedWhole(20, new Fed(4, 9, "old", 0));
    assertEquals(List.of("new"), passed);
  }

  @Test
  void whoHasMissedALineAsksForTheWhole() {
    list.fed(0, new Fed(4, 1, "one", 0));
    list.fed(10, new Fed(4, 3, "three", 0));
    assertEquals(List.of(new Whole(4)), asked);
    list.fedWhole(20, new Fed(4, 3, "all", 0));
    list.fed(30, new Fed(4, 2, "two, late", 0));
    list.fed(40, new Fed(4, 3, "", 0));
    list.fed(50, new Fed(4, 4, "four", 0));
    assertEquals(List.of("one", "all", "four"), passed);
    assertEquals(1, asked.size());
    list.fed(60, new Fed(6, 2, "", 0));
    assertEquals(new Whole(6), asked.get(1));
  }

  @Test
  void anOwnerThatHasNothingYetGoesOnWithWhatItWasFed() {
    list.fed(0, new Fed(4, 1, "one", 0));
    list.look(100, OptionalLong.of(7));
    assertEquals(new Fed(7, 1, "all of [one]", 100), fed.get(0));
    list.told(200, "whole anew");
    assertEquals(new Fed(7, 2, "whole anew", 0), fed.get(1));
    list.look(300, NOT);
    assertTrue(list.asking(), "until another is heard");
  }
}
