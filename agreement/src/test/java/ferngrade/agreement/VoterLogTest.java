package ferngrade.agreement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import ferngrade.codec.Codec;
import ferngrade.durable.DamagedException;
import ferngrade.durable.FaultyDisk;
import io.microraft.model.impl.log.DefaultLogEntryOrBuilder;
import io.microraft.model.impl.log.DefaultRaftGroupMembersViewOrBuilder;
import io.microraft.model.impl.log.DefaultSnapshotChunkOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftEndpointPersistentStateOrBuilder;
import io.microraft.model.impl.persistence.DefaultRaftTermPersistentStateOrBuilder;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What a voter must not forget, on a disk that loses power, fills and rots. */
class VoterLogTest {
    private static final RaftGroupMembersView MEMBERS = new DefaultRaftGroupMembersViewOrBuilder().setLogIndex(0)
            .setMembers(List.of(new Endpoint("a"), new Endpoint("b")))
            .setVotingMembers(List.of(new Endpoint("a"), new Endpoint("b"))).build();

    private final List<IOException> failures = new ArrayList<>();

    private VoterLog open(FaultyDisk disk) throws IOException {
        return VoterLog.open(disk, LogFormat.codec(List.of()), 4_000, failures::add);
    }

    private static void begin(VoterLog log) throws IOException {
        log.persistAndFlushLocalEndpoint(new DefaultRaftEndpointPersistentStateOrBuilder()
                .setLocalEndpoint(new Endpoint("a")).setVoting(true).build());
        log.persistAndFlushInitialGroupMembers(MEMBERS);
    }

    private static LogEntry entry(long index, String what) {
        return new DefaultLogEntryOrBuilder().setIndex(index).setTerm(1).setOperation(what).build();
    }

    private static void vote(VoterLog log, int term, String voted) throws IOException {
        log.persistAndFlushTerm(new DefaultRaftTermPersistentStateOrBuilder().setTerm(term)
                .setVotedFor(new Endpoint(voted)).build());
    }

    @Test
    void anEmptyDiskIsToldFromOneThatHoldsSomething() throws IOException {
        FaultyDisk disk = new FaultyDisk(1, 0);
        VoterLog log = open(disk);
        assertNull(log.restored());
        begin(log);
        disk.powerUp();
        assertEquals("a", open(disk).restored().getLocalEndpointPersistentState().getLocalEndpoint().getId());
    }

    @Test
    void whatWasFlushedIsThereAfterAnyLossOfPowerAndTheVoteTooAndWhatWasCutIsNot() throws IOException {
        for (long seed = 1; seed <= 300; seed++) {
            FaultyDisk disk = new FaultyDisk(seed, 0);
            SplittableRandom chance = new SplittableRandom(seed);
            VoterLog log = open(disk);
            begin(log);
            List<String> flushed = new ArrayList<>();
            int term = 0;
            disk.losePowerAfter(chance.nextInt(60));
            List<String> now = new ArrayList<>(flushed);
            List<String> attempted = now;
            try {
                for (int step = 0; step < 40; step++) {
                    now = new ArrayList<>(flushed);
                    if (now.size() > 2 && chance.nextInt(4) == 0) {
                        int cut = now.size() - 1;
                        log.truncateLogEntriesFrom(cut + 1);
                        now = new ArrayList<>(now.subList(0, cut));
                    }
                    List<LogEntry> some = new ArrayList<>();
                    for (int i = 0; i <= chance.nextInt(3); i++) {
                        now.add("e" + step + "-" + i);
                        some.add(entry(now.size(), now.get(now.size() - 1)));
                    }
                    attempted = now;
                    log.persistLogEntries(some);
                    log.flush();
                    flushed = now;
                    vote(log, term + 1, "b");
                    term++;
                }
            } catch (FaultyDisk.PowerLost lost) {
                assertEquals(1, failures.size(), "told once");
                assertThrows(IOException.class, log::flush, "nothing is written after a failure");
            }
            failures.clear();
            disk.powerUp();
            RestoredRaftState found = open(disk).restored();
            List<String> entries = found.getLogEntries().stream().map(each -> (String) each.getOperation()).toList();
            assertTrue(entries.equals(flushed) || entries.equals(attempted), "seed " + seed + ": " + entries + " is neither "
                    + flushed + " nor " + attempted);
            int foundTerm = found.getTermPersistentState().getTerm();
            assertTrue(foundTerm == term || foundTerm == term + 1, "seed " + seed + ": term " + foundTerm);
            assertEquals(foundTerm == 0 ? null : "b", foundTerm == 0 ? null
                    : found.getTermPersistentState().getVotedFor().getId());
        }
    }

    @Test
    void aSnapshotStandsForTheLogsBeginningAndTheFileIsWrittenAnew() throws IOException {
        FaultyDisk disk = new FaultyDisk(3, 0);
        VoterLog log = open(disk);
        begin(log);
        for (int i = 1; i <= 200; i++) {
            log.persistLogEntries(List.of(entry(i, "entry with some length to it " + i)));
            log.flush();
            if (i == 100) {
                log.persistSnapshotChunk(new DefaultSnapshotChunkOrBuilder().setIndex(90).setTerm(1)
                        .setSnapshotChunkIndex(0).setSnapshotChunkCount(1).setGroupMembersView(MEMBERS)
                        .setOperation("all until 90").build());
                log.flush();
                log.truncateLogEntriesUntil(90);
                log.flush();
            }
        }
        disk.powerUp();
        assertTrue(!disk.list().get(0).endsWith("001"), disk.list().toString());
        RestoredRaftState found = open(disk).restored();
        assertEquals(1, disk.list().size(), "what an earlier file left behind is gone");
        assertEquals(90, found.getSnapshotEntry().getIndex());
        assertEquals(110, found.getLogEntries().size());
        assertEquals(91, found.getLogEntries().get(0).getIndex());
    }

    @Test
    void aFullDiskIsToldOnceAndNothingFollows() throws IOException {
        FaultyDisk disk = new FaultyDisk(4, 0);
        VoterLog log = open(disk);
        begin(log);
        disk.fill(true);
        assertThrows(IOException.class, () -> vote(log, 5, "b"));
        disk.fill(false);
        assertThrows(IOException.class, () -> vote(log, 6, "b"));
        assertEquals(1, failures.size());
        disk.powerUp();
        assertEquals(0, open(disk).restored().getTermPersistentState().getTerm());
    }

    @Test
    void aBitTurnedOverInWhatWasSyncedIsSaidWithFileAndOffset() throws IOException {
        int said = 0;
        for (int offset = 0; offset < 200; offset += 5) {
            FaultyDisk disk = new FaultyDisk(offset, 0);
            VoterLog log = open(disk);
            begin(log);
            for (int i = 1; i <= 5; i++) {
                // The last is long: what is turned over lies before it, and so was synced.
                log.persistLogEntries(List.of(entry(i, "entry " + "x".repeat(i == 5 ? 500 : 10))));
                log.flush();
            }
            String file = disk.list().get(0);
            if (disk.flip(file, offset)) {
                DamagedException damage = assertThrows(DamagedException.class, () -> open(disk));
                assertEquals(file, damage.file());
                said++;
            }
        }
        assertTrue(said > 20, "places tried: " + said);
    }

    @Test
    void bytesOfStrangersAreNoValues() {
        Codec codec = LogFormat.codec(List.of());
        SplittableRandom chance = new SplittableRandom(5);
        byte[] good = codec.write(entry(1, "x"));
        int refused = 0;
        for (int i = 0; i < 5_000; i++) {
            byte[] bytes = i % 2 == 0 ? good.clone() : new byte[1 + chance.nextInt(40)];
            if (i % 2 == 1) {
                chance.nextBytes(bytes);
            } else {
                bytes[chance.nextInt(bytes.length)] ^= (byte) (1 << chance.nextInt(8));
            }
            try {
                codec.read(bytes, 0, bytes.length);
            } catch (IOException none) {
                refused++;
            }
        }
        assertTrue(refused > 2_000, "refused " + refused);
    }
}
