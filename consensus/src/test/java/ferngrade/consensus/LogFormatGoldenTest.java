package ferngrade.consensus;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import ferngrade.codec.Codec;
import ferngrade.golden.GoldenFile;
import ferngrade.jobstore.FaultInjectingStorage;
import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.impl.groupop.DefaultUpdateRaftGroupMembersOpOrBuilder;
import io.microraft.model.impl.log.DefaultLogEntryOrBuilder;
import io.microraft.model.impl.log.DefaultRaftGroupMembersViewOrBuilder;
import io.microraft.model.impl.log.DefaultSnapshotChunkOrBuilder;
import io.microraft.model.impl.log.DefaultSnapshotEntryOrBuilder;
import io.microraft.model.impl.message.DefaultAppendEntriesFailureResponseOrBuilder;
import io.microraft.model.impl.message.DefaultAppendEntriesRequestOrBuilder;
import io.microraft.model.impl.message.DefaultAppendEntriesSuccessResponseOrBuilder;
import io.microraft.model.impl.message.DefaultInstallSnapshotRequestOrBuilder;
import io.microraft.model.impl.message.DefaultInstallSnapshotResponseOrBuilder;
import io.microraft.model.impl.message.DefaultPreVoteRequestOrBuilder;
import io.microraft.model.impl.message.DefaultPreVoteResponseOrBuilder;
import io.microraft.model.impl.message.DefaultTriggerLeaderElectionRequestOrBuilder;
import io.microraft.model.impl.message.DefaultVoteRequestOrBuilder;
import io.microraft.model.impl.message.DefaultVoteResponseOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftEndpointPersistentStateOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the stored and sent forms: members' messages and the log on disk must
 * keep the bytes that an earlier version wrote.
 */
class LogFormatGoldenTest {
  private static final GoldenFile GOLDEN = GoldenFile.open("log-format.txt");
  private static final RaftMemberId SELF = new RaftMemberId("a");
  private static final RaftMemberId OTHER = RaftMemberId.rejoining("b", "0f1e");
  private static final Set<RaftEndpoint> BOTH = new LinkedHashSet<>(List.of(SELF, OTHER));
  private static final String GROUP = "fleet";
  private static final RaftGroupMembersView MEMBERS =
      new DefaultRaftGroupMembersViewOrBuilder()
          .setLogIndex(1)
          .setMembers(BOTH)
          .setVotingMembers(List.of(SELF))
          .build();
  private static final LogEntry ENTRY = entry(20, "command");
  private static final SnapshotChunk CHUNK =
      new DefaultSnapshotChunkOrBuilder()
          .setIndex(30)
          .setTerm(3)
          .setSnapshotChunkIndex(0)
          .setSnapshotChunkCount(1)
          .setGroupMembersView(MEMBERS)
          .setOperation("all until 30")
          .build();

  /**
   * The permitted growth of a file. This bound exceeds the length of all logs in these tests, so
   * that no file is rewritten because of its size.
   */
  private static final long MAX_GROWTH_BYTES = 1 << 20;

  private final Codec codec = LogFormat.codec(List.of());

  private static LogEntry entry(long index, Object operation) {
    return new DefaultLogEntryOrBuilder()
        .setIndex(index)
        .setTerm(2)
        .setOperation(operation)
        .build();
  }

  private static Map<String, Object> values() {
    Map<String, Object> values = new LinkedHashMap<>();
    putLogClasses(values);
    putStored(values);
    putElections(values);
    putReplication(values);
    return values;
  }

  private static void putLogClasses(Map<String, Object> values) {
    values.put("endpoint", SELF);
    values.put("endpoint-anew", OTHER);
    values.put("first-entry-of-term", new NoOpEntry());
    values.put("cut-from", new RaftLogState.TruncateFrom(40));
    values.put("cut-until", new RaftLogState.TruncateUntil(41));
    values.put("drop-chunks", new RaftLogState.DeleteChunks(42));
    values.put("forward", new MemberMessage.Forward(43, "command"));
    values.put("answered", new MemberMessage.Answered(44, true, "result"));
    values.put("answered-unknown", new MemberMessage.Answered(45, false, "why"));
    values.put("addressed", new MemberMessage.Addressed("b#0f1e", "message"));
    values.put("join", new MemberMessage.Join("b#0f1e"));
    int number = 0;
    for (MembershipChangeMode mode : MembershipChangeMode.values()) {
      values.put("change-mode-" + number++, mode);
    }
  }

  private static void putStored(Map<String, Object> values) {
    values.put("members", MEMBERS);
    values.put("entry", ENTRY);
    values.put("entry-first-of-term", entry(21, new NoOpEntry()));
    values.put(
        "entry-members",
        entry(
            22,
            new DefaultUpdateRaftGroupMembersOpOrBuilder()
                .setMembers(BOTH)
                .setVotingMembers(BOTH)
                .setEndpoint(OTHER)
                .setMode(MembershipChangeMode.ADD_LEARNER)
                .build()));
    values.put(
        "update-members",
        new DefaultUpdateRaftGroupMembersOpOrBuilder()
            .setMembers(BOTH)
            .setVotingMembers(List.of(SELF))
            .setEndpoint(OTHER)
            .setMode(MembershipChangeMode.REMOVE_MEMBER)
            .build());
    values.put("snapshot-chunk", CHUNK);
    values.put(
        "snapshot-entry",
        new DefaultSnapshotEntryOrBuilder()
            .setIndex(31)
            .setTerm(3)
            .setSnapshotChunks(List.of(CHUNK))
            .setGroupMembersView(MEMBERS)
            .build());
    values.put(
        "endpoint-state",
        new DefaultRaftEndpointPersistentStateOrBuilder()
            .setLocalEndpoint(SELF)
            .setVoting(true)
            .build());
    values.put(
        "term-state",
        new DefaultRaftTermPersistentStateOrBuilder().setTerm(4).setVotedFor(OTHER).build());
    values.put(
        "term-state-without-vote",
        new DefaultRaftTermPersistentStateOrBuilder().setTerm(5).build());
  }

  private static void putElections(Map<String, Object> values) {
    values.put(
        "pre-vote-request",
        new DefaultPreVoteRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(6)
            .setLastLogTerm(5)
            .setLastLogIndex(50)
            .build());
    values.put(
        "pre-vote-response",
        new DefaultPreVoteResponseOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(6)
            .setGranted(true)
            .build());
    values.put(
        "vote-request",
        new DefaultVoteRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(7)
            .setLastLogTerm(5)
            .setLastLogIndex(51)
            .setSticky(true)
            .build());
    values.put(
        "vote-response",
        new DefaultVoteResponseOrBuilder()
            .setGroupId(GROUP)
            .setSender(OTHER)
            .setTerm(7)
            .setGranted(true)
            .build());
    values.put(
        "trigger-election",
        new DefaultTriggerLeaderElectionRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(8)
            .setLastLogTerm(7)
            .setLastLogIndex(52)
            .build());
  }

  private static void putReplication(Map<String, Object> values) {
    values.put(
        "append-request",
        new DefaultAppendEntriesRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(9)
            .setPreviousLogTerm(8)
            .setPreviousLogIndex(19)
            .setCommitIndex(18)
            .setLogEntries(List.of(ENTRY))
            .setQuerySequenceNumber(60)
            .setFlowControlSequenceNumber(61)
            .build());
    values.put(
        "append-request-empty",
        new DefaultAppendEntriesRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(9)
            .setPreviousLogTerm(8)
            .setPreviousLogIndex(19)
            .setCommitIndex(18)
            .setLogEntries(List.of())
            .setQuerySequenceNumber(62)
            .setFlowControlSequenceNumber(63)
            .build());
    values.put(
        "append-success",
        new DefaultAppendEntriesSuccessResponseOrBuilder()
            .setGroupId(GROUP)
            .setSender(OTHER)
            .setTerm(9)
            .setLastLogIndex(20)
            .setQuerySequenceNumber(64)
            .setFlowControlSequenceNumber(65)
            .build());
    values.put(
        "append-failure",
        new DefaultAppendEntriesFailureResponseOrBuilder()
            .setGroupId(GROUP)
            .setSender(OTHER)
            .setTerm(9)
            .setExpectedNextIndex(17)
            .setQuerySequenceNumber(66)
            .setFlowControlSequenceNumber(67)
            .build());
    values.put(
        "snapshot-request",
        new DefaultInstallSnapshotRequestOrBuilder()
            .setGroupId(GROUP)
            .setSender(SELF)
            .setTerm(10)
            .setSenderLeader(true)
            .setSnapshotTerm(3)
            .setSnapshotIndex(30)
            .setTotalSnapshotChunkCount(1)
            .setSnapshotChunk(CHUNK)
            .setSnapshottedMembers(BOTH)
            .setGroupMembersView(MEMBERS)
            .setQuerySequenceNumber(68)
            .setFlowControlSequenceNumber(69)
            .build());
    values.put(
        "snapshot-response",
        new DefaultInstallSnapshotResponseOrBuilder()
            .setGroupId(GROUP)
            .setSender(OTHER)
            .setTerm(10)
            .setSnapshotIndex(30)
            .setRequestedSnapshotChunkIndex(1)
            .setQuerySequenceNumber(70)
            .setFlowControlSequenceNumber(71)
            .build());
  }

  @Test
  void readsAndWritesEachValueAsRecorded() throws IOException {
    for (Map.Entry<String, Object> value : values().entrySet()) {
      GOLDEN.verify(value.getKey(), codec.write(value.getValue()));
      byte[] recorded = GOLDEN.bytes(value.getKey());
      Object read = codec.read(recorded, 0, recorded.length);
      if (value.getValue().getClass().getName().startsWith("ferngrade.")) {
        assertEquals(value.getValue(), read, value.getKey());
      }
      // The library's classes do not define equals; they are compared by their strings and by their
      // encoded bytes.
      assertEquals(value.getValue().toString(), read.toString(), value.getKey());
      assertArrayEquals(recorded, codec.write(read), value.getKey());
    }
  }

  /** Fails if a class is added to the format without a recorded value. */
  @Test
  void recordsEachClassOfTheFormat() {
    Set<Class<?>> recorded = new LinkedHashSet<>();
    values().values().forEach(value -> recorded.add(value.getClass()));
    assertEquals(LogFormat.classes(), recorded);
  }

  @Test
  void writesAndReadsLogFileAsRecorded() throws IOException {
    FaultInjectingStorage disk = new FaultInjectingStorage(1, 0);
    List<IOException> failures = new ArrayList<>();
    RaftLogStore log = RaftLogStore.open(disk, codec, MAX_GROWTH_BYTES, failures::add);
    fill(log);
    log.close();
    GOLDEN.verify("file-names", disk.list().toString());
    String name = disk.list().get(0);
    GOLDEN.verify("file", disk.read(name));

    FaultInjectingStorage copy = new FaultInjectingStorage(2, 0);
    byte[] recorded = GOLDEN.bytes("file");
    copy.create(name).append(recorded, recorded.length);
    check(RaftLogStore.open(copy, codec, MAX_GROWTH_BYTES, failures::add).restored().orElseThrow());
    // Reopening writes the whole state as one batch to a file with the next number.
    GOLDEN.verify("file-names-reopened", copy.list().toString());
    GOLDEN.verify("file-reopened", copy.read(copy.list().get(0)));
    assertEquals(List.of(), failures);
  }

  private static void fill(RaftLogStore log) throws IOException {
    log.persistAndFlushLocalEndpoint(
        new DefaultRaftEndpointPersistentStateOrBuilder()
            .setLocalEndpoint(SELF)
            .setVoting(true)
            .build());
    log.persistAndFlushInitialGroupMembers(MEMBERS);
    log.persistAndFlushTerm(
        new DefaultRaftTermPersistentStateOrBuilder().setTerm(4).setVotedFor(OTHER).build());
    log.persistLogEntries(
        List.of(entry(29, "first"), entry(30, "second"), entry(31, "third"), entry(32, "fourth")));
    log.flush();
    log.persistSnapshotChunk(CHUNK);
    log.truncateLogEntriesUntil(30);
    log.truncateLogEntriesFrom(32);
    log.deleteSnapshotChunks(5, 1);
    log.flush();
  }

  private static void check(RestoredRaftState restored) {
    assertEquals(SELF, restored.getLocalEndpointPersistentState().getLocalEndpoint());
    assertEquals(4, restored.getTermPersistentState().getTerm());
    assertEquals(OTHER, restored.getTermPersistentState().getVotedFor());
    assertEquals(30, restored.getSnapshotEntry().getIndex());
    assertEquals(
        List.of("third"), restored.getLogEntries().stream().map(LogEntry::getOperation).toList());
  }
}
