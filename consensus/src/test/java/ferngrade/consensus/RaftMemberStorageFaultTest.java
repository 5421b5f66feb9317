package ferngrade.consensus;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.codec.Codec;
import ferngrade.jobstore.FaultInjectingStorage;
import ferngrade.jobstore.FaultInjectingStorage.Errno;
import ferngrade.jobstore.FaultInjectingStorage.Operation;
import ferngrade.node.Timers;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against lost or repeated proposals when the disks of voters fail temporarily. The test
 * runs in virtual time.
 */
class RaftMemberStorageFaultTest {
  private static final double HEARTBEAT_MILLIS = 100;
  private static final double MESSAGE_DELAY_MILLIS = 2;
  private static final double TIMEOUT_MILLIS = 1_000_000;

  private record Event(double at, long number, Runnable task) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
  private final TreeMap<String, Member> members = new TreeMap<>();
  private final List<String> outcomes = new ArrayList<>();
  private double now;
  private long number;

  private void after(double millis, Runnable task) {
    events.add(new Event(now + millis, number++, task));
  }

  private void run(double millis) {
    double until = now + millis;
    while (!events.isEmpty() && events.peek().at() <= until) {
      Event next = events.remove();
      now = next.at();
      next.task().run();
    }
    now = until;
  }

  /** A voter with its disk and the commands that it has applied. */
  private final class Member implements ReplicatedStateMachine {
    final FaultInjectingStorage disk;
    final List<Object> applied = new ArrayList<>();
    final RaftMember raft;
    private final RaftLogStore log;
    private int recoveries;

    Member(String name, List<String> names, long seed) throws IOException {
      disk = new FaultInjectingStorage(seed, 0);
      Codec codec = LogFormat.codec(List.of());
      log = RaftLogStore.open(disk, codec, 1 << 16, failure -> failed());
      Timers timers = new Timers(() -> now, (millis, run) -> after(millis + 1e-6, run));
      raft =
          new RaftMember(
              new RaftMember.Settings(
                  name, new RaftMember.Group("test", names, names), HEARTBEAT_MILLIS, 1000),
              new RaftMember.Persistence(log, log.restored(), Optional.empty()),
              new RaftMember.Environment(() -> now, timers, task -> after(0, task), seed),
              new RaftMember.Messaging(
                  codec,
                  (to, message) ->
                      after(
                          MESSAGE_DELAY_MILLIS, () -> members.get(to).raft.handle(name, message))),
              this);
      raft.start();
    }

    private void failed() {
      raft.suspend(log, () -> recoveries++);
    }

    void propose(String command) {
      raft.propose(
          command,
          TIMEOUT_MILLIS,
          ProposalOutcome.of(
              result -> outcomes.add(command + " done"),
              reason -> outcomes.add(command + " unknown: " + reason)));
    }

    @Override
    public Object apply(long index, Object command) {
      applied.add(command);
      return command;
    }

    @Override
    public Object snapshot() {
      return new ArrayList<>(applied);
    }

    @Override
    public void restore(long index, Object snapshot) {
      applied.clear();
      applied.addAll((List<?>) snapshot);
    }
  }

  private void begin(String... names) throws IOException {
    for (String name : names) {
      members.put(name, new Member(name, List.of(names), members.size() + 1));
    }
    run(10_000);
  }

  private Member leader() {
    return members.values().stream()
        .filter(
            member ->
                !member.raft.suspended() && members.get(member.raft.view().leader()) == member)
        .findFirst()
        .orElseThrow();
  }

  @ParameterizedTest
  @EnumSource(Errno.class)
  void completesPendingProposalsOnceAfterFaultAndRejectsNewOnesMeanwhile(Errno errno)
      throws IOException {
    begin("a");
    Member only = members.get("a");
    only.propose("first");
    run(100);
    only.disk.fail(errno == Errno.ENOSPC ? Operation.WRITE : Operation.SYNC, errno, 0, 5);
    only.propose("waits");
    run(100);
    assertTrue(only.raft.suspended());
    only.propose("rejected");
    run(100);
    assertEquals(List.of("first done", "rejected unknown: " + RaftMember.DISK_FAILS), outcomes);
    assertEquals(List.of("first"), only.applied, "only durable commands are applied");
    run(1_000);
    assertFalse(only.raft.suspended());
    assertEquals(1, only.recoveries);
    only.propose("last");
    run(1_000);
    assertEquals(
        List.of(
            "first done", "rejected unknown: " + RaftMember.DISK_FAILS, "waits done", "last done"),
        outcomes);
    assertEquals(List.of("first", "waits", "last"), only.applied);
    only.disk.restorePower();
    assertEquals(
        List.of("first", "waits", "last"),
        RaftLogStore.open(only.disk, LogFormat.codec(List.of()), 1 << 16, failure -> {})
            .restored()
            .orElseThrow()
            .getLogEntries()
            .stream()
            .map(entry -> entry.getOperation())
            .filter(String.class::isInstance)
            .toList());
  }

  @Test
  void anotherMemberLeadsWhileLeadersDiskFailsAndFormerLeaderFollows() throws IOException {
    for (double failing : new double[] {50, 300, 1_000, 20_000}) {
      members.clear();
      events.clear();
      outcomes.clear();
      begin("a", "b", "c");
      Member first = leader();
      first.propose("before");
      run(500);
      first.disk.fail(Operation.SYNC, Errno.EIO, 0, Long.MAX_VALUE);
      first.propose("unsure");
      run(failing);
      first.disk.clearFaults();
      run(20_000);
      Member later = leader();
      later.propose("after");
      run(1_000);
      assertEquals("after done", outcomes.get(outcomes.size() - 1));
      assertEquals(outcomes.size(), outcomes.stream().distinct().count(), outcomes.toString());
      for (Member member : members.values()) {
        assertEquals(leader().applied, member.applied, "failing for " + failing);
        assertEquals("after", member.applied.get(member.applied.size() - 1));
      }
      if (failing > 10_000) {
        assertFalse(later == first, "another member must lead");
      }
    }
  }
}
