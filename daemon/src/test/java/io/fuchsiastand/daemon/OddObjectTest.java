package io.fuchsiastand.daemon;

import java.nio.charset.StandardCharsets;

import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.store.StoredObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests objects in the store of the own deployment that another program has written. */
class OddObjectTest {

    private Fleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new Fleet(1);
        fleet.startBackend(0, "b0", "menu");
    }

    @AfterEach
    void stop() throws Exception {
        fleet.close();
    }

    // Guards against daemons that no longer follow the store because one object in it is odd.
    @ParameterizedTest
    @ValueSource(strings = {"shards/odd", "members/odd", "keys/odd", "config/odd"})
    void followsLaterChangesAfterAnOddObject(String name) throws Exception {
        for (String value : new String[] {"not json", "null", "{\"epoch\":99999999999999999999}", "[".repeat(5_000)}) {
            fleet.objects.put(
                    name + Math.abs(value.hashCode()),
                    value.getBytes(StandardCharsets.UTF_8),
                    StoredObject.ABSENT,
                    "odd");
        }
        fleet.giveKey("zermatt", "later-key");
        Fleet.await("a key that is given later is accepted", () -> isAccepted("later-key"));
    }

    // Guards against a daemon that starts and never serves because one object in the store is odd.
    @ParameterizedTest
    @ValueSource(strings = {"shards/odd", "members/odd", "keys/odd"})
    void becomesReadyWhenTheStoreHasAnOddObject(String name) throws Exception {
        fleet.objects.put(name, "not json".getBytes(StandardCharsets.UTF_8), StoredObject.ABSENT, "odd");
        fleet.daemons.get(0).close();
        Daemon restarted = fleet.restart(0);
        Fleet.await("the daemon is ready", () -> restarted.status().lifecycle() == Lifecycle.READY);
    }

    private boolean isAccepted(String key) {
        try {
            return fleet.get(0, "/menu", key).statusCode() == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
