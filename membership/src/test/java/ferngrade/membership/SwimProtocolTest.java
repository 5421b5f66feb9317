package ferngrade.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.membership.Message.Ack;
import ferngrade.membership.Message.Letter;
import ferngrade.membership.Message.Nack;
import ferngrade.membership.Message.Ping;
import ferngrade.membership.Message.PingFor;
import ferngrade.membership.Message.Sync;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** One member's view, letter by letter. */
class SwimProtocolTest {
  private final List<Letter> sent = new ArrayList<>();
  private final List<String> addressees = new ArrayList<>();
  private final List<String> seen = new ArrayList<>();
  private int clashes;
  private final SwimProtocol swim =
      new SwimProtocol(
          "me",
          "me:1",
          7,
          List.of(),
          SwimProtocol.Terms.LOCAL,
          new SplittableRandom(1),
          new SwimProtocol.Out() {
            @Override
            public void send(String name, String address, Letter letter) {
              addressees.add(name);
              sent.add(letter);
            }

            @Override
            public void changed(Peer before, Peer after) {
              seen.add(after.name() + " " + after.standing());
            }

            @Override
            public void clash(MembershipUpdate other) {
              clashes++;
            }
          });

  private static MembershipUpdate news(
      String name, long incarnation, MemberStatus standing, String by) {
    return new MembershipUpdate(name, name + ":1", 5, incarnation, standing, by);
  }

  private static MembershipUpdate alive(String name) {
    return news(name, 0, MemberStatus.ALIVE, name);
  }

  private void hear(double at, MembershipUpdate self, MembershipUpdate... news) {
    swim.received(at, self.address(), new Letter(self, new Nack(-1), List.of(news)));
  }

  private void pass(double from, double until) {
    for (double at = from; at <= until; at += 10) {
      swim.run(at);
    }
  }

  private List<Letter> last(Class<? extends Message> kind) {
    return sent.stream().filter(each -> kind.isInstance(each.message())).toList();
  }

  @Test
  void aMemberThatAnswersNobodyIsSuspectedAndThenFailed() {
    swim.start(0);
    hear(0, alive("b"), alive("c"), alive("d"));
    double at = 0;
    while (at < 60_000 && !seen.contains("b FAILED")) {
      at += 10;
      for (Letter each : List.copyOf(sent)) {
        if (each.message() instanceof Ping ping
            && !"b".equals(addressees.get(sent.indexOf(each)))) {
          String name = addressees.get(sent.indexOf(each));
          swim.received(
              at, name + ":1", new Letter(alive(name), new Ack(ping.number()), List.of()));
        } else if (each.message() instanceof PingFor asked) {
          String helper = addressees.get(sent.indexOf(each));
          swim.received(
              at, helper + ":1", new Letter(alive(helper), new Nack(asked.number()), List.of()));
        }
      }
      sent.clear();
      addressees.clear();
      swim.run(at);
    }
    assertEquals(List.of("b ALIVE", "c ALIVE", "d ALIVE", "b SUSPECT", "b FAILED"), seen);
    assertEquals(0, swim.health(), "the helpers were there: it is b, not this member");
  }

  @Test
  void aMemberThatHearsNobodyDoubtsItself() {
    swim.start(0);
    hear(0, alive("b"), alive("c"), alive("d"));
    pass(0, 4_000);
    assertTrue(swim.health() >= 3, "health " + swim.health());
    double before = last(Ping.class).size();
    pass(4_000, 8_000);
    assertTrue(
        last(Ping.class).size() - before < before, "it probes less often, and waits for longer");
  }

  @Test
  void suspicionsThatOthersConfirmEndSooner() {
    Suspicion alone = new Suspicion(0, 1_000, 6_000, 10, "a");
    assertEquals(6_000, alone.until());
    assertTrue(alone.confirm("b") && alone.until() < 6_000 && alone.until() > 1_000);
    assertFalse(alone.confirm("b"));
    assertTrue(alone.confirm("c") && alone.confirm("d"));
    assertEquals(1_000, alone.until());
    assertFalse(alone.confirm("e"), "enough have said so");
    assertEquals(
        1_000,
        new Suspicion(0, 1_000, 6_000, 3, "a").until(),
        "of three nobody else can confirm it");
  }

  @Test
  void whatIsSaidOfThisMemberAndIsNotSoIsDenied() {
    swim.start(0);
    hear(0, alive("b"), new MembershipUpdate("me", "me:1", 7, 0, MemberStatus.SUSPECT, "c"));
    assertEquals(1, swim.self().incarnation());
    hear(0, alive("b"), new MembershipUpdate("me", "me:1", 7, 0, MemberStatus.FAILED, "c"));
    assertEquals(1, swim.self().incarnation(), "that is denied already");
    hear(0, alive("b"), new MembershipUpdate("me", "me:1", 6, 4, MemberStatus.ALIVE, "me"));
    assertEquals(5, swim.self().incarnation(), "an earlier process of its name");
    assertEquals(0, clashes);
    swim.received(
        0,
        "x",
        new Letter(
            new MembershipUpdate("me", "x", 9, 0, MemberStatus.ALIVE, "me"),
            new Ping(1),
            List.of()));
    assertEquals(1, clashes);
  }

  @Test
  void oldNewsChangesNothingAndADenialEndsASuspicion() {
    swim.start(0);
    hear(0, alive("c"), news("b", 3, MemberStatus.ALIVE, "b"));
    hear(0, alive("c"), news("b", 2, MemberStatus.FAILED, "c"));
    assertTrue(swim.alive("b"));
    hear(0, alive("c"), news("b", 3, MemberStatus.SUSPECT, "c"));
    hear(100, alive("c"), news("b", 4, MemberStatus.ALIVE, "b"));
    pass(100, 20_000);
    assertEquals(List.of("c ALIVE", "b ALIVE", "b SUSPECT", "b ALIVE"), seen.subList(0, 4));
  }

  @Test
  void oneThatHasLeftIsNotCalledFailedAndOneThatComesBackIsAlive() {
    swim.start(0);
    hear(0, alive("c"), news("b", 3, MemberStatus.LEFT, "b"));
    hear(0, alive("c"), news("b", 3, MemberStatus.FAILED, "c"));
    assertFalse(swim.alive("b"));
    swim.received(
        0,
        "b:1",
        new Letter(
            new MembershipUpdate("b", "b:1", 6, 0, MemberStatus.ALIVE, "b"),
            new Ping(1),
            List.of()));
    Letter answer = last(Ack.class).get(0);
    assertEquals(
        MemberStatus.LEFT,
        answer.news().get(0).standing(),
        "it is told first, so that it can deny it");
    hear(0, new MembershipUpdate("b", "b:1", 6, 4, MemberStatus.ALIVE, "b"));
    assertTrue(swim.alive("b"));
  }

  @Test
  void whatStrangersSendIsBoundedAndDropped() {
    swim.start(0);
    hear(0, news("b", -1, MemberStatus.ALIVE, "b"));
    hear(0, news("x".repeat(65), 0, MemberStatus.ALIVE, "b"));
    swim.received(0, "b", new Letter(alive("b"), null, List.of()));
    swim.received(0, "b", new Letter(alive("b"), new Sync(null, true), List.of()));
    swim.received(0, "b", new Letter(alive("b"), new PingFor(1, "c", null), List.of()));
    assertEquals(0, swim.peers().size());
  }

  @Test
  void aLargeFleetIsToldInLettersOfBoundedSize() {
    swim.start(0);
    for (int i = 0; i < 500; i++) {
      hear(0, alive("member-with-a-long-name-" + i));
    }
    sent.clear();
    swim.received(0, "q:1", new Letter(alive("q"), new Message.Digest(1), List.of()));
    assertEquals(
        501,
        last(Sync.class).stream().mapToInt(each -> ((Sync) each.message()).all().size()).sum());
    for (Letter each : sent) {
      int bytes =
          each.self().bytes()
              + each.news().stream().mapToInt(MembershipUpdate::bytes).sum()
              + (each.message() instanceof Sync sync
                  ? sync.all().stream().mapToInt(MembershipUpdate::bytes).sum()
                  : 0);
      assertTrue(bytes <= SwimProtocol.Terms.LOCAL.bytes(), "bytes " + bytes);
    }
    swim.leave(1);
    assertFalse(swim.alive("me"));
  }
}
