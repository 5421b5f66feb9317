package ferngrade.consensus;

import io.microraft.model.impl.log.DefaultSnapshotEntryOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.log.SnapshotEntry;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import io.microraft.persistence.RestoredRaftState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The stored state of a member: its endpoint, the initial group, the term and the vote, the log's
 * entries and snapshots. The state results from applying the written items in order; this class
 * performs no I/O.
 *
 * <p>The codec writes the components of the records in this class in the order of their names, so
 * they must not be renamed.
 */
final class RaftLogState {
  /** Removes the entries of the log from this index on. */
  record TruncateFrom(long index) {}

  /** Removes the entries of the log up to this index, which a snapshot covers. */
  record TruncateUntil(long index) {}

  /** Removes the chunks of the snapshot at this index. */
  record DeleteChunks(long index) {}

  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
  private Optional<RaftEndpointPersistentState> endpoint = Optional.empty();
  private Optional<RaftGroupMembersView> initialMembers = Optional.empty();
  private Optional<RaftTermPersistentState> term = Optional.empty();

  /** Applies an item; throws an {@link IllegalStateException} if its class is unknown. */
  void apply(Object item) {
    if (item instanceof LogEntry entry) {
      entries.put(entry.getIndex(), entry);
    } else if (item instanceof TruncateFrom truncation) {
      entries.tailMap(truncation.index(), true).clear();
    } else if (item instanceof TruncateUntil truncation) {
      entries.headMap(truncation.index(), true).clear();
    } else if (item instanceof SnapshotChunk chunk) {
      chunks
          .computeIfAbsent(chunk.getIndex(), index -> new TreeMap<>())
          .put(chunk.getSnapshotChunkIndex(), chunk);
    } else if (item instanceof DeleteChunks deletion) {
      chunks.remove(deletion.index());
    } else if (item instanceof RaftTermPersistentState state) {
      term = Optional.of(state);
    } else if (item instanceof RaftGroupMembersView members) {
      initialMembers = Optional.of(members);
    } else if (item instanceof RaftEndpointPersistentState state) {
      endpoint = Optional.of(state);
    } else {
      throw new IllegalStateException("not an item of a member's log: " + item);
    }
  }

  /** Returns the items that produce this state when they are applied to an empty one. */
  List<Object> items() {
    List<Object> items = new ArrayList<>();
    endpoint.ifPresent(items::add);
    initialMembers.ifPresent(items::add);
    term.ifPresent(items::add);
    chunks.values().forEach(snapshot -> items.addAll(snapshot.values()));
    items.addAll(entries.values());
    return items;
  }

  boolean hasSnapshotChunks() {
    return !chunks.isEmpty();
  }

  /** Returns the state in the form that the algorithm restores, or empty if none was stored. */
  Optional<RestoredRaftState> restored() {
    if (endpoint.isEmpty() || initialMembers.isEmpty()) {
      return Optional.empty();
    }
    Optional<SnapshotEntry> snapshot = latestSnapshot();
    long snapshotIndex = snapshot.map(SnapshotEntry::getIndex).orElse(0L);
    RaftTermPersistentState lastTerm =
        term.orElseGet(() -> new DefaultRaftTermPersistentStateOrBuilder().setTerm(0).build());
    return Optional.of(
        new RestoredRaftState(
            endpoint.get(),
            initialMembers.get(),
            lastTerm,
            snapshot.orElse(null),
            new ArrayList<>(entries.tailMap(snapshotIndex, false).values())));
  }

  /** Returns the latest snapshot whose chunks are all stored. */
  private Optional<SnapshotEntry> latestSnapshot() {
    return chunks.descendingMap().values().stream()
        .filter(
            snapshot -> snapshot.size() == snapshot.firstEntry().getValue().getSnapshotChunkCount())
        .findFirst()
        .map(snapshot -> snapshotOf(new ArrayList<>(snapshot.values())));
  }

  private static SnapshotEntry snapshotOf(List<SnapshotChunk> allChunks) {
    SnapshotChunk first = allChunks.get(0);
    return new DefaultSnapshotEntryOrBuilder()
        .setIndex(first.getIndex())
        .setTerm(first.getTerm())
        .setSnapshotChunks(allChunks)
        .setGroupMembersView(first.getGroupMembersView())
        .build();
  }
}
