package ferngrade.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.lease.EndpointListRelay.FullListRequest;
import ferngrade.lease.EndpointListRelay.RelayedLine;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against a member whose worker list is out of date. The causes tested are lost lines, the
 * loss of the owner, and lines of an outdated owner.
 */
class EndpointListRelayTest {
  private static final OptionalLong NOT_HELD = OptionalLong.empty();

  private final List<String> delivered = new ArrayList<>();
  private final List<RelayedLine> sent = new ArrayList<>();
  private final List<FullListRequest> requests = new ArrayList<>();
  private final EndpointListRelay relay =
      new EndpointListRelay(
          0,
          new EndpointListRelay.Actions() {
            @Override
            public void startWatch() {}

            @Override
            public void stopWatch() {}

            @Override
            public void deliver(String line) {
              delivered.add(line);
            }

            @Override
            public String fullList() {
              return delivered.isEmpty() ? null : "all of " + delivered;
            }

            @Override
            public void broadcast(RelayedLine line) {
              sent.add(line);
            }

            @Override
            public void requestFullList(FullListRequest request) {
              requests.add(request);
            }
          });

  @Test
  void ownerWatchesDiscoveryAndNumbersEachLine() {
    relay.tick(10, OptionalLong.of(4));
    assertTrue(relay.watching());
    relay.discoveryLineReceived(20, "one");
    relay.discoveryLineReceived(30, "");
    relay.discoveryLineReceived(40, "two");
    assertEquals(
        List.of(new RelayedLine(4, 1, "one", 0), new RelayedLine(4, 2, "two", 0)),
        sent.stream().filter(line -> !line.line().isEmpty()).toList());
    relay.tick(400, OptionalLong.of(4));
    assertEquals(new RelayedLine(4, 2, "", 360), sent.get(sent.size() - 1));
    assertEquals(2, relay.fullListFor(500, new FullListRequest(4)).number());
    assertNull(relay.fullListFor(500, new FullListRequest(3)));
  }

  @Test
  void memberWatchesDiscoveryOnlyWithoutMessagesFromOwner() {
    relay.tick(100, NOT_HELD);
    assertFalse(relay.watching());
    relay.relayedLineReceived(200, new RelayedLine(4, 1, "one", 50));
    assertEquals(350, relay.ageMillis(500));
    relay.tick(1_600, NOT_HELD);
    assertFalse(relay.watching());
    relay.tick(1_800, NOT_HELD);
    assertTrue(relay.watching(), "no owner has sent anything for 1.5 s");
    relay.discoveryLineReceived(1_900, "own");
    assertEquals(List.of("one", "own"), delivered);
    assertTrue(sent.isEmpty(), "only an owner sends lines to others");
    relay.relayedLineReceived(2_000, new RelayedLine(5, 1, "next", 0));
    relay.tick(2_010, NOT_HELD);
    assertFalse(relay.watching());
    relay.discoveryLineReceived(2_020, "late");
    assertEquals(List.of("one", "own", "next"), delivered);
  }

  @Test
  void dropsLinesOfOutdatedOwner() {
    relay.relayedLineReceived(0, new RelayedLine(5, 1, "new", 0));
    relay.relayedLineReceived(10, new RelayedLine(4, 1, "old", 0));
    relay.fullListReceived(20, new RelayedLine(4, 9, "old", 0));
    assertEquals(List.of("new"), delivered);
  }

  @Test
  void requestsWholeListAfterMissedLine() {
    relay.relayedLineReceived(0, new RelayedLine(4, 1, "one", 0));
    relay.relayedLineReceived(10, new RelayedLine(4, 3, "three", 0));
    assertEquals(List.of(new FullListRequest(4)), requests);
    relay.fullListReceived(20, new RelayedLine(4, 3, "all", 0));
    relay.relayedLineReceived(30, new RelayedLine(4, 2, "two, late", 0));
    relay.relayedLineReceived(40, new RelayedLine(4, 3, "", 0));
    relay.relayedLineReceived(50, new RelayedLine(4, 4, "four", 0));
    assertEquals(List.of("one", "all", "four"), delivered);
    assertEquals(1, requests.size());
    relay.relayedLineReceived(60, new RelayedLine(6, 2, "", 0));
    assertEquals(new FullListRequest(6), requests.get(1));
  }

  @Test
  void newOwnerStartsWithListReceivedFromPreviousOwner() {
    relay.relayedLineReceived(0, new RelayedLine(4, 1, "one", 0));
    relay.tick(100, OptionalLong.of(7));
    assertEquals(new RelayedLine(7, 1, "all of [one]", 100), sent.get(0));
    relay.discoveryLineReceived(200, "whole anew");
    assertEquals(new RelayedLine(7, 2, "whole anew", 0), sent.get(1));
    relay.tick(300, NOT_HELD);
    assertTrue(
        relay.watching(), "the member must watch discovery until another owner sends something");
  }
}
