package ferngrade.agreement;

import com.esotericsoftware.kryo.Kryo;
import com.esotericsoftware.kryo.KryoException;
import com.esotericsoftware.kryo.Registration;
import com.esotericsoftware.kryo.io.Input;
import com.esotericsoftware.kryo.io.Output;
import com.esotericsoftware.kryo.serializers.CollectionSerializer;
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
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * Bytes of what members tell each other and what a voter's disk keeps. Only classes named here and those of the commands
 * can be read: bytes of strangers make no others. Belongs to one thread.
 *
 * <p>The order of the classes is the format: new ones go to the end.
 */
public final class Codec {
    private static final int MOST = 16 << 20;
    private static final List<Class<?>> OWN = List.of(String.class, ArrayList.class, LinkedHashSet.class, Endpoint.class, NewTerm.class, VoterLog.CutFrom.class, VoterLog.CutUntil.class,
            VoterLog.DropChunks.class, Voter.Forward.class, Voter.Answered.class, MembershipChangeMode.class,
            DefaultUpdateRaftGroupMembersOpOrBuilder.class, DefaultLogEntryOrBuilder.class,
            DefaultRaftGroupMembersViewOrBuilder.class, DefaultSnapshotChunkOrBuilder.class,
            DefaultSnapshotEntryOrBuilder.class, DefaultAppendEntriesFailureResponseOrBuilder.class,
            DefaultAppendEntriesRequestOrBuilder.class, DefaultAppendEntriesSuccessResponseOrBuilder.class,
            DefaultInstallSnapshotRequestOrBuilder.class, DefaultInstallSnapshotResponseOrBuilder.class,
            DefaultPreVoteRequestOrBuilder.class, DefaultPreVoteResponseOrBuilder.class,
            DefaultTriggerLeaderElectionRequestOrBuilder.class, DefaultVoteRequestOrBuilder.class,
            DefaultVoteResponseOrBuilder.class, DefaultRaftEndpointPersistentStateOrBuilder.class,
            DefaultRaftTermPersistentStateOrBuilder.class);

    private final Kryo kryo = new ListsAlike();
    private final Output output = new Output(4096, MOST);

    /** A codec for the log's own classes and those of the commands, in this order. */
    public Codec(List<Class<?>> commands) {
        kryo.setRegistrationRequired(true);
        kryo.addDefaultSerializer(Collection.class, new Lists());
        OWN.forEach(kryo::register);
        commands.forEach(kryo::register);
    }

    /** The bytes of a value; one that holds a class not named here is a fault of the program. */
    public byte[] write(Object value) {
        output.reset();
        kryo.writeClassAndObject(output, value);
        return output.toBytes();
    }

    /** The value that these bytes are; bytes that are none end in an exception. */
    public Object read(byte[] bytes, int from, int length) throws IOException {
        try {
            return kryo.readClassAndObject(new Bounded(bytes, from, length));
        } catch (KryoException | IllegalArgumentException | IndexOutOfBoundsException | NegativeArraySizeException
                | ClassCastException | NullPointerException malformed) {
            throw new IOException("not a value of this log: " + malformed.getMessage(), malformed);
        }
    }

    /** A text cannot be longer than what is left to read: one that says so would be given the room first. */
    private static final class Bounded extends Input {
        Bounded(byte[] bytes, int from, int length) {
            super(bytes, from, length);
        }

        @Override
        public String readString() {
            int at = position();
            if (readVarIntFlag() && readVarIntFlag(true) - 1 > limit() - position()) {
                throw new KryoException("a text is longer than the message");
            }
            setPosition(at);
            return super.readString();
        }
    }

    /** A list is given the room that its items need, not what a message says. */
    private static final class Lists extends CollectionSerializer<Collection<Object>> {
        @Override
        protected Collection<Object> create(Kryo kryo, Input input, Class<? extends Collection<Object>> type, int size) {
            return List.class.isAssignableFrom(type) ? new ArrayList<>() : new LinkedHashSet<>();
        }
    }

    /** Whatever kind of list or set a value holds comes back as one plain kind. */
    private static final class ListsAlike extends Kryo {
        @Override
        @SuppressWarnings({"rawtypes", "unchecked"})
        public Registration getRegistration(Class type) {
            if (List.class.isAssignableFrom(type)) {
                return super.getRegistration(ArrayList.class);
            }
            return super.getRegistration(Collection.class.isAssignableFrom(type) ? LinkedHashSet.class : type);
        }
    }
}
