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

/**
 * Guards against a member without a current worker list: lost lines, a lost owner, and outdated
 * owners.
 */
class EndpointListRelayTest {
  private static final OptionalLong NOT_HELD = OptionalLong.empty();

  private final List<String> passed = new ArrayList<>();
  private final List<Fed> sent = new ArrayList<>();
  private final List<Whole> requests = new ArrayList<>();
  private final EndpointListRelay relay =
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
              sent.add(line);
            }

            @Override
            public void askWhole(Whole request) {
              requests.add(request);
            }
          });

  @Test
  void ownerWatchesDiscoveryAndNumbersEachLine() {
    relay.look(10, OptionalLong.of(4));
    assertTrue(relay.watching());
    relay.told(20, "one");
    relay.told(30, "");
    relay.told(40, "two");
    assertEquals(
        List.of(new Fed(4, 1, "one", 0), new Fed(4, 2, "two", 0)),
        sent.stream().filter(line -> !line.line().isEmpty()).toList());
    relay.look(400, OptionalLong.of(4));
    assertEquals(new Fed(4, 2, "", 360), sent.get(sent.size() - 1));
    assertEquals(2, relay.whole(500, new Whole(4)).number());
    assertNull(relay.whole(500, new Whole(3)));
  }

  @Test
  void memberWatchesDiscoveryOnlyWithoutMessagesFromOwner() {
    relay.look(100, NOT_HELD);
    assertFalse(relay.watching());
    relay.fed(200, new Fed(4, 1, "one", 50));
    assertEquals(350, relay.age(500));
    relay.look(1_600, NOT_HELD);
    assertFalse(relay.watching());
    relay.look(1_800, NOT_HELD);
    assertTrue(relay.watching(), "no owner has sent anything for 1.5 s");
    relay.told(1_900, "own");
    assertEquals(List.of("one", "own"), passed);
    assertTrue(sent.isEmpty(), "only an owner sends lines to others");
    relay.fed(2_000, new Fed(5, 1, "next", 0));
    relay.look(2_010, NOT_HELD);
    assertFalse(relay.watching());
    relay.told(2_020, "late");
    assertEquals(List.of("one", "own", "next"), passed);
  }

  @Test
  void dropsLinesOfOutdatedOwner() {
    relay.fed(0, new Fed(5, 1, "new", 0));
    relay.fed(10, new Fed(4, 1, "old", 0));
    relay.fedWhole(20, new Fed(4, 9, "old", 0));
    assertEquals(List.of("new"), passed);
  }

  @Test
  void requestsWholeListAfterMissedLine() {
    relay.fed(0, new Fed(4, 1, "one", 0));
    relay.fed(10, new Fed(4, 3, "three", 0));
    assertEquals(List.of(new Whole(4)), requests);
    relay.fedWhole(20, new Fed(4, 3, "all", 0));
    relay.fed(30, new Fed(4, 2, "two, late", 0));
    relay.fed(40, new Fed(4, 3, "", 0));
    relay.fed(50, new Fed(4, 4, "four", 0));
    assertEquals(List.of("one", "all", "four"), passed);
    assertEquals(1, requests.size());
    relay.fed(60, new Fed(6, 2, "", 0));
    assertEquals(new Whole(6), requests.get(1));
  }

  @Test
  void newOwnerStartsWithListReceivedFromPreviousOwner() {
    relay.fed(0, new Fed(4, 1, "one", 0));
    relay.look(100, OptionalLong.of(7));
    assertEquals(new Fed(7, 1, "all of [one]", 100), sent.get(0));
    relay.told(200, "whole anew");
    assertEquals(new Fed(7, 2, "whole anew", 0), sent.get(1));
    relay.look(300, NOT_HELD);
    assertTrue(
        relay.watching(), "the member must watch discovery until another owner sends something");
  }
}
