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
 * What a member has stored: its endpoint, the initial group, term and vote, the log's entries and
 * snapshots. It is the result of the items that were written, in their order, and knows no I/O.
 *
 * <p>The codec writes the components of the records here in the order of their names: they must not
 * be renamed.
 */
final class RaftLogState {
  /** The log's entries from this index on are void. */
  record TruncateFrom(long index) {}

  /** The log's entries up to this index are in a snapshot. */
  record TruncateUntil(long index) {}

  /** The chunks of the snapshot at this index are obsolete. */
  record DeleteChunks(long index) {}

  private final TreeMap<Long, LogEntry> entries = new TreeMap<>();
  private final TreeMap<Long, TreeMap<Integer, SnapshotChunk>> chunks = new TreeMap<>();
  private Optional<RaftEndpointPersistentState> endpoint = Optional.empty();
  private Optional<RaftGroupMembersView> initialMembers = Optional.empty();
  private Optional<RaftTermPersistentState> term = Optional.empty();

  /** Applies an item; an {@link IllegalStateException} reports one of an unknown class. */
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
      throw new IllegalStateException("not a part of a voter's log: " + item);
    }
  }

  /** The items that produce this state from none. */
  List<Object> items() {
    List<Object> items = new ArrayList<>();
    endpoint.ifPresent(items::add);
    initialMembers.ifPresent(items::add);
    term.ifPresent(items::add);
    chunks.values().forEach(each -> items.addAll(each.values()));
    items.addAll(entries.values());
    return items;
  }

  boolean hasSnapshotChunks() {
    return !chunks.isEmpty();
  }

  /** The state as the algorithm restores it; empty if none was stored. */
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

  /** The latest snapshot of which all chunks are stored. */
  private Optional<SnapshotEntry> latestSnapshot() {
    return chunks.descendingMap().values().stream()
        .filter(each -> each.size() == each.firstEntry().getValue().getSnapshotChunkCount())
        .findFirst()
        .map(each -> snapshotOf(new ArrayList<>(each.values())));
  }

  private static SnapshotEntry snapshotOf(List<SnapshotChunk> complete) {
    SnapshotChunk first = complete.get(0);
    return new DefaultSnapshotEntryOrBuilder()
        .setIndex(first.getIndex())
        .setTerm(first.getTerm())
        .setSnapshotChunks(complete)
        .setGroupMembersView(first.getGroupMembersView())
        .build();
  }
}
