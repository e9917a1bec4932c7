package io.fuchsiastand.daemon.store;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.fuchsiastand.config.Json;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.membership.GossipController;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.store.ObjectStore;
import io.fuchsiastand.store.ObjectsAtRevision;
import io.fuchsiastand.store.StoredObject;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class JoinControllerTest {

    private static final String OWN_RECORD = "members/h1";

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("");
    private final MemoryObjectStore objects = new MemoryObjectStore();
    private final List<String> calls = new ArrayList<>();
    private final Transport transport = new Transport(Optional.empty());

    @AfterEach
    void stop() {
        transport.close();
    }

    @Test
    void writesTheRecordOfANewHostAndReadsThoseOfTheOthersAfterwards() {
        startProcess().exchangeRecords();

        assertThat(objects.get(OWN_RECORD)).isPresent();
        assertThat(calls).containsExactly("list", "put", "list").inOrder();
    }

    // The load: all daemons restart at once. A record that is still right costs no call.
    @Test
    void readsTheListOnlyWhenARestartedDaemonFindsItsRecord() {
        startProcess().exchangeRecords();
        calls.clear();
        JoinController restarted = startProcess();
        restarted.exchangeRecords();
        restarted.exchangeRecords();

        assertThat(calls).containsExactly("list", "list");
    }

    @Test
    void replacesTheRecordOfAnEarlierProcessAtAnotherAddress() {
        byte[] other = Json.write(new JoinController.JoinRecord("h1", "127.0.0.9", 3));
        objects.put(OWN_RECORD, other, StoredObject.ABSENT, "1");
        startProcess().exchangeRecords();

        StoredObject stored = objects.get(OWN_RECORD).orElseThrow();
        assertThat(Json.read(stored.value(), JoinController.JoinRecord.class).address())
                .isEqualTo("127.0.0.1");
    }

    private JoinController startProcess() {
        Blackboard board = new Blackboard(settings, settings.ports(), clock);
        GossipController gossip = new GossipController(board, new Peers(transport), List::of);
        return new JoinController(board, new CountingStore(objects, calls), gossip, () -> {});
    }

    /** Records the names of the calls. */
    private record CountingStore(ObjectStore store, List<String> calls) implements ObjectStore {

        @Override
        public Optional<StoredObject> get(String name) {
            calls.add("get");
            return store.get(name);
        }

        @Override
        public ObjectsAtRevision list(String prefix) {
            calls.add("list");
            return store.list(prefix);
        }

        @Override
        public long put(String name, byte[] value, long expected, String changeId) {
            calls.add("put");
            return store.put(name, value, expected, changeId);
        }

        @Override
        public void delete(String name, long expected) {
            calls.add("delete");
            store.delete(name, expected);
        }

        @Override
        public ObjectsAtRevision watch(String prefix, long from, Duration wait) {
            return store.watch(prefix, from, wait);
        }
    }
}
