package io.fuchsiastand.daemon.idempotency;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.protobuf.ByteString;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.limit.LimitController;
import io.fuchsiastand.daemon.store.ShardTableWriter;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.TrackPhase;
import io.fuchsiastand.protocol.TrackRequest;
import io.fuchsiastand.protocol.TrackResult;
import io.fuchsiastand.standin.MemoryObjectStore;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class IdempotencyControllerTest {

    // After this many rounds of 30 s, leases of an earlier process have expired.
    private static final int ROUNDS = 20;

    private final ManualClock clock = new ManualClock();
    private final Settings settings = TestSettings.with("[limits]\nshards = 1\n");
    private final MemoryObjectStore store = new MemoryObjectStore();
    private final Transport transport = new Transport(Optional.empty());
    private final Peers peers = new Peers(transport, Clock.system());
    private final DaemonProcess process = new DaemonProcess();

    /** The parts of one process of the daemon that decide about idempotency keys. */
    private final class DaemonProcess {
        private final Blackboard board = new Blackboard(settings, settings.ports(), clock);
        private final LimitController limits = new LimitController(board, peers);
        private final IdempotencyController idempotency = new IdempotencyController(board, peers, limits);
        private final ShardTableWriter writer = new ShardTableWriter(board, limits, store);

        private void joinShard() {
            limits.start();
            store.list("shards/").objects().forEach(o -> board.putRecord(o.name(), o.version(), o.value()));
            writer.createMissingEntries();
            for (int i = 0; i < ROUNDS; i++) {
                clock.advance(Duration.ofSeconds(30));
                writer.tick();
                limits.tick();
            }
        }

        private TrackResult begin() throws Exception {
            TrackRequest request = TrackRequest.newBuilder()
                    .setShard(0)
                    .setTeam("zermatt")
                    .setKeyDigest(ByteString.copyFromUtf8("order-7"))
                    .setPhase(TrackPhase.BEGIN)
                    .setAttempt(1)
                    .build();
            return idempotency.track(request).toCompletableFuture().get();
        }
    }

    @AfterEach
    void stop() {
        transport.close();
    }

    @Test
    void startsTheFirstCallWithAKeyOfANewFleet() throws Exception {
        process.joinShard();

        assertThat(process.begin()).isEqualTo(TrackResult.STARTED);
    }

    // Guards against a new fleet that answers 409 to each first call with an idempotency key, because a daemon had to
    // replace a wrong update about itself before the shard table was created.
    @Test
    void startsTheFirstCallWithAKeyAfterTheDaemonRefutedASuspicion() throws Exception {
        Member self = process.board.members().self();
        process.board
                .members()
                .apply(List.of(self.withState(MemberState.SUSPECT, self.incarnation(), 0)
                        .toUpdate()));
        assertThat(process.board.members().self().incarnation()).isGreaterThan(self.incarnation());
        process.joinShard();

        assertThat(process.begin()).isEqualTo(TrackResult.STARTED);
    }

    @Test
    void doesNotStartACallIfAnEarlierProcessMayHaveRunIt() throws Exception {
        process.joinShard();
        DaemonProcess later = new DaemonProcess();
        later.joinShard();

        assertThat(later.begin()).isNotEqualTo(TrackResult.STARTED);
    }
}
