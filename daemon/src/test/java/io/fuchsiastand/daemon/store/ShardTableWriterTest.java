package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.limit.ShardEntry;
import io.fuchsiastand.limit.UsableHalves;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.MemberUpdate;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.ObjectsAtRevision;
import io.fuchsiastand.store.StoredObject;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class ShardTableWriterTest {

    private static final MemoryObjectStore.Faults LOSING_ANSWERS =
            new MemoryObjectStore.Faults(false, 0, true, false, false);

    // After this many rounds of 30 s, leases of an earlier process have expired.
    private static final int ROUNDS = 20;

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("[limits]\nshards = 1\n");
    private final Blackboard board = new Blackboard(settings, settings.ports(), clock);
    private final MemoryObjectStore store = new MemoryObjectStore();
    private final Transport transport = new Transport(Optional.empty());
    private final LimitController limits = new LimitController(board, new Peers(transport, Clock.system()));
    private final ShardTableWriter writer = new ShardTableWriter(board, limits, store);

    // Guards against a daemon that ends its leases because a watch delivers the entry that it is writing itself, before
    // the
    // answer to the write.
    @Test
    void keepsItsLeasesWhenAWatchDeliversItsClaimBeforeTheAnswer() {
        ShardTableWriter watchedWriter = new ShardTableWriter(board, limits, new WatchedStore(store, board));
        limits.start();
        watchedWriter.createMissingEntries();
        for (int i = 0; i < ROUNDS; i++) {
            clock.advance(Duration.ofSeconds(30));
            watchedWriter.tick();
            limits.tick();
        }
        long epoch = limits.entry(0).orElseThrow().epoch();
        assertThat(limits.usableHalves(0)).isNotEqualTo(UsableHalves.NONE);
        addPartner();

        watchedWriter.tick();

        assertThat(limits.entry(0).orElseThrow().epoch()).isEqualTo(epoch + 1);
        assertThat(limits.usableHalves(0)).isNotEqualTo(UsableHalves.NONE);
    }

    // Guards against a claim that hides the entries of other processes.
    @Test
    void endsItsLeasesWhenAnotherProcessWritesTheNextEpoch() {
        limits.start();
        writer.createMissingEntries();
        for (int i = 0; i < ROUNDS; i++) {
            clock.advance(Duration.ofSeconds(30));
            writer.tick();
            limits.tick();
        }
        assertThat(limits.usableHalves(0)).isNotEqualTo(UsableHalves.NONE);
        addPartner();
        long epoch = limits.entry(0).orElseThrow().epoch();
        ShardEntry other = new ShardEntry(0, epoch + 1, "h2", "", false, List.of("h1"), List.of());

        store.setFaults(LOSING_ANSWERS);
        writer.tick();
        board.putRecord(other.name(), Long.MAX_VALUE, Json.write(other));

        assertThat(limits.usableHalves(0)).isEqualTo(UsableHalves.NONE);
    }

    @AfterEach
    void stop() {
        transport.close();
    }

    @Test
    void keepsItsLeasesWhenTheAnswerToAClaimIsLost() {
        limits.start();
        writer.createMissingEntries();
        for (int i = 0; i < ROUNDS; i++) {
            clock.advance(Duration.ofSeconds(30));
            writer.tick();
            limits.tick();
        }
        long epoch = limits.entry(0).orElseThrow().epoch();
        assertThat(limits.usableHalves(0)).isNotEqualTo(UsableHalves.NONE);
        addPartner();

        store.setFaults(LOSING_ANSWERS);
        writer.tick();
        store.setFaults(MemoryObjectStore.Faults.NONE);
        writer.tick();

        assertThat(limits.entry(0).orElseThrow().epoch()).isEqualTo(epoch + 1);
        assertThat(limits.usableHalves(0)).isNotEqualTo(UsableHalves.NONE);
    }

    /** Delivers each write to a watch of the daemon before it returns. */
    private record WatchedStore(ObjectStore store, Blackboard board) implements ObjectStore {

        @Override
        public Optional<StoredObject> get(String name) {
            return store.get(name);
        }

        @Override
        public ObjectsAtRevision list(String prefix) {
            return store.list(prefix);
        }

        @Override
        public long put(String name, byte[] value, long expected, String changeId) {
            long version = store.put(name, value, expected, changeId);
            board.putRecord(name, version, value);
            return version;
        }

        @Override
        public void delete(String name, long expected) {
            store.delete(name, expected);
        }

        @Override
        public ObjectsAtRevision watch(String prefix, long from, Duration wait) {
            return store.watch(prefix, from, wait);
        }
    }

    private void addPartner() {
        MemberUpdate partner = MemberUpdate.newBuilder()
                .setHost("h2")
                .setAddress("127.0.0.2")
                .setDataCentre("bern")
                .setIncarnation(1)
                .setState(MemberState.ALIVE)
                .build();
        board.members().apply(List.of(partner));
    }
}
