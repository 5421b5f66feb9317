package ferngrade.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.membership.Message.Ack;
import ferngrade.membership.Message.Envelope;
import ferngrade.membership.Message.Nack;
import ferngrade.membership.Message.Ping;
import ferngrade.membership.Message.PingRequest;
import ferngrade.membership.Message.Sync;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guards against wrong states of members. Each test passes individual envelopes to one member. */
class SwimProtocolTest {
  private final List<Envelope> sent = new ArrayList<>();
  private final List<String> recipients = new ArrayList<>();
  private final List<String> statusChanges = new ArrayList<>();
  private int nameConflicts;
  private final SwimProtocol swim =
      new SwimProtocol(
          "me",
          "me:1",
          7,
          List.of(),
          SwimProtocol.Settings.LOCAL,
          new SplittableRandom(1),
          new SwimProtocol.Callbacks() {
            @Override
            public void send(String name, String address, Envelope envelope) {
              recipients.add(name);
              sent.add(envelope);
            }

            @Override
            public void statusChanged(Peer before, Peer after) {
              statusChanges.add(after.name() + " " + after.status());
            }

            @Override
            public void nameConflict(MembershipUpdate other) {
              nameConflicts++;
            }
          });

  private static MembershipUpdate update(
      String name, long incarnation, MemberStatus standing, String by) {
    return new MembershipUpdate(name, name + ":1", 5, incarnation, standing, by);
  }

  private static MembershipUpdate alive(String name) {
    return update(name, 0, MemberStatus.ALIVE, name);
  }

  private void receive(double at, MembershipUpdate self, MembershipUpdate... updates) {
    swim.received(at, self.address(), new Envelope(self, new Nack(-1), List.of(updates)));
  }

  private void advance(double from, double until) {
    for (double at = from; at <= until; at += 10) {
      swim.runDueTasks(at);
    }
  }

  private List<Envelope> sentOfType(Class<? extends Message> type) {
    return sent.stream().filter(envelope -> type.isInstance(envelope.message())).toList();
  }

  @Test
  void suspectsAndThenFailsUnresponsiveMember() {
    swim.start(0);
    receive(0, alive("b"), alive("c"), alive("d"));
    double at = 0;
    while (at < 60_000 && !statusChanges.contains("b FAILED")) {
      at += 10;
      for (Envelope envelope : List.copyOf(sent)) {
        if (envelope.message() instanceof Ping ping
            && !"b".equals(recipients.get(sent.indexOf(envelope)))) {
          String name = recipients.get(sent.indexOf(envelope));
          swim.received(
              at, name + ":1", new Envelope(alive(name), new Ack(ping.number()), List.of()));
        } else if (envelope.message() instanceof PingRequest request) {
          String helper = recipients.get(sent.indexOf(envelope));
          swim.received(
              at,
              helper + ":1",
              new Envelope(alive(helper), new Nack(request.number()), List.of()));
        }
      }
      sent.clear();
      recipients.clear();
      swim.runDueTasks(at);
    }
    assertEquals(List.of("b ALIVE", "c ALIVE", "d ALIVE", "b SUSPECT", "b FAILED"), statusChanges);
    assertEquals(
        0, swim.health(), "the helpers answered, so b has failed and this member is healthy");
  }

  @Test
  void isolatedMemberLowersItsOwnHealth() {
    swim.start(0);
    receive(0, alive("b"), alive("c"), alive("d"));
    advance(0, 4_000);
    assertTrue(swim.health() >= 3, "health " + swim.health());
    double before = sentOfType(Ping.class).size();
    advance(4_000, 8_000);
    assertTrue(
        sentOfType(Ping.class).size() - before < before,
        "an unhealthy member probes less often and waits longer");
  }

  @Test
  void confirmationsShortenSuspicion() {
    Suspicion alone = new Suspicion(0, 1_000, 6_000, 10, "a");
    assertEquals(6_000, alone.endsAt());
    assertTrue(alone.confirm("b") && alone.endsAt() < 6_000 && alone.endsAt() > 1_000);
    assertFalse(alone.confirm("b"));
    assertTrue(alone.confirm("c") && alone.confirm("d"));
    assertEquals(1_000, alone.endsAt());
    assertFalse(alone.confirm("e"), "no further confirmation is needed");
    assertEquals(
        1_000,
        new Suspicion(0, 1_000, 6_000, 3, "a").endsAt(),
        "in a fleet of three no other member can confirm the suspicion");
  }

  @Test
  void refutesWrongUpdatesAboutItself() {
    swim.start(0);
    receive(0, alive("b"), new MembershipUpdate("me", "me:1", 7, 0, MemberStatus.SUSPECT, "c"));
    assertEquals(1, swim.self().incarnation());
    receive(0, alive("b"), new MembershipUpdate("me", "me:1", 7, 0, MemberStatus.FAILED, "c"));
    assertEquals(1, swim.self().incarnation(), "this update was already refuted");
    receive(0, alive("b"), new MembershipUpdate("me", "me:1", 6, 4, MemberStatus.ALIVE, "me"));
    assertEquals(5, swim.self().incarnation(), "an update about an earlier process is refuted too");
    assertEquals(0, nameConflicts);
    swim.received(
        0,
        "x",
        new Envelope(
            new MembershipUpdate("me", "x", 9, 0, MemberStatus.ALIVE, "me"),
            new Ping(1),
            List.of()));
    assertEquals(1, nameConflicts);
  }

  @Test
  void ignoresOldUpdatesAndEndsSuspicionOnRefutation() {
    swim.start(0);
    receive(0, alive("c"), update("b", 3, MemberStatus.ALIVE, "b"));
    receive(0, alive("c"), update("b", 2, MemberStatus.FAILED, "c"));
    assertTrue(swim.alive("b"));
    receive(0, alive("c"), update("b", 3, MemberStatus.SUSPECT, "c"));
    receive(100, alive("c"), update("b", 4, MemberStatus.ALIVE, "b"));
    advance(100, 20_000);
    assertEquals(
        List.of("c ALIVE", "b ALIVE", "b SUSPECT", "b ALIVE"), statusChanges.subList(0, 4));
  }

  @Test
  void leftMemberIsNotMarkedFailedAndIsAliveAfterReturn() {
    swim.start(0);
    receive(0, alive("c"), update("b", 3, MemberStatus.LEFT, "b"));
    receive(0, alive("c"), update("b", 3, MemberStatus.FAILED, "c"));
    assertFalse(swim.alive("b"));
    swim.received(
        0,
        "b:1",
        new Envelope(
            new MembershipUpdate("b", "b:1", 6, 0, MemberStatus.ALIVE, "b"),
            new Ping(1),
            List.of()));
    Envelope answer = sentOfType(Ack.class).get(0);
    assertEquals(
        MemberStatus.LEFT,
        answer.news().get(0).standing(),
        "the status of the receiver is sent first, so that the receiver can refute it");
    receive(0, new MembershipUpdate("b", "b:1", 6, 4, MemberStatus.ALIVE, "b"));
    assertTrue(swim.alive("b"));
  }

  @Test
  void dropsInvalidEnvelopes() {
    swim.start(0);
    receive(0, update("b", -1, MemberStatus.ALIVE, "b"));
    receive(0, update("x".repeat(65), 0, MemberStatus.ALIVE, "b"));
    swim.received(0, "b", new Envelope(alive("b"), null, List.of()));
    swim.received(0, "b", new Envelope(alive("b"), new Sync(null, true), List.of()));
    swim.received(0, "b", new Envelope(alive("b"), new PingRequest(1, "c", null), List.of()));
    assertEquals(0, swim.peers().size());
  }

  @Test
  void sendsStateOfLargeFleetInEnvelopesOfBoundedSize() {
    swim.start(0);
    for (int i = 0; i < 500; i++) {
      receive(0, alive("member-with-a-long-name-" + i));
    }
    sent.clear();
    swim.received(0, "q:1", new Envelope(alive("q"), new Message.Digest(1), List.of()));
    assertEquals(
        501,
        sentOfType(Sync.class).stream()
            .mapToInt(envelope -> ((Sync) envelope.message()).all().size())
            .sum());
    for (Envelope envelope : sent) {
      int bytes =
          envelope.self().maxEncodedBytes()
              + envelope.news().stream().mapToInt(MembershipUpdate::maxEncodedBytes).sum()
              + (envelope.message() instanceof Sync sync
                  ? sync.all().stream().mapToInt(MembershipUpdate::maxEncodedBytes).sum()
                  : 0);
      assertTrue(bytes <= SwimProtocol.Settings.LOCAL.maxEnvelopeBytes(), "bytes " + bytes);
    }
    swim.leave(1);
    assertFalse(swim.alive("me"));
  }
}
