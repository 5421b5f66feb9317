package ferngrade.consensus;

import ferngrade.codec.Codec;
import io.microraft.MembershipChangeMode;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Lists the classes that members send to each other and store. Their order defines the format: new
 * classes are appended.
 */
public final class LogFormat {
  private static final List<Class<?>> LOG_CLASSES =
      List.of(
          RaftMemberId.class,
          NoOpEntry.class,
          RaftLogState.TruncateFrom.class,
          RaftLogState.TruncateUntil.class,
          RaftLogState.DeleteChunks.class,
          MemberMessage.Forward.class,
          MemberMessage.Answered.class,
          MembershipChangeMode.class,
          DefaultUpdateRaftGroupMembersOpOrBuilder.class,
          DefaultLogEntryOrBuilder.class,
          DefaultRaftGroupMembersViewOrBuilder.class,
          DefaultSnapshotChunkOrBuilder.class,
          DefaultSnapshotEntryOrBuilder.class,
          DefaultAppendEntriesFailureResponseOrBuilder.class,
          DefaultAppendEntriesRequestOrBuilder.class,
          DefaultAppendEntriesSuccessResponseOrBuilder.class,
          DefaultInstallSnapshotRequestOrBuilder.class,
          DefaultInstallSnapshotResponseOrBuilder.class,
          DefaultPreVoteRequestOrBuilder.class,
          DefaultPreVoteResponseOrBuilder.class,
          DefaultTriggerLeaderElectionRequestOrBuilder.class,
          DefaultVoteRequestOrBuilder.class,
          DefaultVoteResponseOrBuilder.class,
          DefaultRaftEndpointPersistentStateOrBuilder.class,
          DefaultRaftTermPersistentStateOrBuilder.class,
          MemberMessage.Addressed.class,
          MemberMessage.Join.class);

  private LogFormat() {}

  /** Returns the classes of the log itself, without those of the commands. */
  static Set<Class<?>> classes() {
    return new LinkedHashSet<>(LOG_CLASSES);
  }

  /**
   * Creates a codec. The codec's list of classes begins with the classes of the log itself. The
   * classes of the commands follow.
   */
  public static Codec codec(List<Class<?>> commands) {
    return new Codec(LOG_CLASSES, commands);
  }
}
