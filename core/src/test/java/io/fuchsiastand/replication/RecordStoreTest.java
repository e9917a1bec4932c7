package io.fuchsiastand.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.fuchsiastand.protocol.Record;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class RecordStoreTest {

    private final RecordStore a = new RecordStore();
    private final RecordStore b = new RecordStore();

    @Test
    void ignoresRecordsThatAreNotNewerThanTheStoredOne() {
        assertThat(a.put(record("x", 2))).isTrue();
        assertThat(a.put(record("x", 1))).isFalse();
        assertThat(a.put(record("x", 2))).isFalse();
        assertThat(a.get("x").orElseThrow().getVersion()).isEqualTo(2);
    }

    @Test
    void makesBothStoresEqualInOneAntiEntropyExchange() {
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 300; i++) {
            (random.nextBoolean() ? a : b).put(record("r" + i, 1 + random.nextInt(3)));
            (random.nextBoolean() ? a : b).put(record("r" + i, 1 + random.nextInt(3)));
        }
        sync();
        assertThat(a.continueSync("a", b.answerSync(a.startSync("a")))).isEmpty();
        assertThat(a.size()).isEqualTo(b.size());
    }

    @Test
    void sendsEachRecordToEachHostOnce() {
        a.put(record("x", 1));
        assertThat(a.takeGossipUpdates("b")).hasSize(1);
        assertThat(a.takeGossipUpdates("b")).isEmpty();
        assertThat(a.takeGossipUpdates("c")).hasSize(1);
        a.endGossipUpdates(List.of("b", "c"));
        assertThat(a.hasGossipUpdates("d")).isFalse();
    }

    @Test
    void doesNotSendARecordBackToAHostThatHasSentIt() {
        a.put(record("x", 1), "b");
        a.put(record("x", 1), "c");
        assertThat(a.takeGossipUpdates("b")).isEmpty();
        assertThat(a.takeGossipUpdates("c")).isEmpty();
        a.put(record("x", 2));
        assertThat(a.takeGossipUpdates("b")).hasSize(1);
    }

    @Test
    void sendsContentAddressedRecordsOnlyOnRequest() {
        a.put(record("chunk/abc", 1));
        assertThat(a.hasGossipUpdates("b")).isFalse();
        sync();
        assertThat(b.get("chunk/abc")).isEmpty();
        SyncReply reply =
                a.answerSync(SyncRequest.newBuilder().addWanted("chunk/abc").build());
        assertThat(reply.getRecordsList()).hasSize(1);
    }

    @Test
    void notifiesListenersOfStoredRecordsOnly() {
        List<Long> versions = new ArrayList<>();
        a.listen(r -> versions.add(r.getVersion()));
        a.put(record("x", 1));
        a.put(record("x", 1));
        a.put(record("x", 3));
        a.put(record("x", 2));
        assertThat(versions).containsExactly(1L, 3L).inOrder();
    }

    @Test
    void doesNotStoreRecordsThatTheNameFilterRejects() {
        b.put(record("host/gone", 1));
        a.setNameFilter(n -> !n.equals("host/gone"));
        sync();
        assertThat(a.get("host/gone")).isEmpty();
    }

    private void sync() {
        Optional<SyncRequest> next = a.continueSync("a", b.answerSync(a.startSync("a")));
        next.ifPresent(request -> {
            request.getRecordsList().forEach(r -> b.put(r));
            b.answerSync(request).getRecordsList().forEach(r -> a.put(r));
        });
    }

    private static Record record(String name, long version) {
        return RecordStore.record(name, version, new byte[] {(byte) version});
    }
}
