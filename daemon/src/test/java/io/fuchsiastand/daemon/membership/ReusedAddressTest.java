package io.fuchsiastand.daemon.membership;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Settings;
import io.fuchsiastand.daemon.board.TestSettings;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests the probes of a host that has ended, at whose address this daemon listens now. */
class ReusedAddressTest {

    private static final int MAX_SECONDS = 5;

    private final Settings settings = TestSettings.with("");
    private final Blackboard board = new Blackboard(settings, settings.ports(), Clock.system());
    private final Transport transport = new Transport(Optional.empty());
    private final Peers peers = new Peers(transport, board.clock());
    private final GossipController gossip = new GossipController(board, peers, List::of);
    private final AtomicInteger probes = new AtomicInteger();
    private volatile boolean answersFalse;
    private Server server;

    @BeforeEach
    void start() {
        server = transport.peerServer(0, new PeerGrpc.PeerImplBase() {
            @Override
            public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
                probes.incrementAndGet();
                if (answersFalse) {
                    out.onNext(ProbeReply.getDefaultInstance());
                    out.onCompleted();
                    return;
                }
                gossip.onProbe(request, r -> {
                    out.onNext(r);
                    out.onCompleted();
                });
            }
        });
        Member ended = new Member("ended", "127.0.0.1", 1, server.getPort(), "zurich", 1, MemberState.ALIVE, 0);
        board.members().apply(List.of(ended.toUpdate()));
    }

    @AfterEach
    void stop() {
        server.shutdownNow();
        peers.close();
        transport.close();
    }

    @Test
    void answersAProbeForTheHostThatHadTheAddressBeforeAtOnce() {
        Member before =
                new Member("before", settings.address(), 1, settings.ports().peer(), "zurich", 1, MemberState.ALIVE, 0);
        board.members().apply(List.of(before.toUpdate()));
        CompletableFuture<ProbeReply> reply = new CompletableFuture<>();

        gossip.onProbe(
                ProbeRequest.newBuilder().setFrom("other").setTarget("before").build(), reply::complete);

        assertThat(reply.getNow(null).getAcknowledged()).isFalse();
    }

    @Test
    void passesAProbeOnAtMostOnce() throws Exception {
        CompletableFuture<ProbeReply> reply = new CompletableFuture<>();

        gossip.onProbe(
                ProbeRequest.newBuilder().setFrom("other").setTarget("ended").build(), reply::complete);

        assertThat(reply.get(MAX_SECONDS, TimeUnit.SECONDS).getAcknowledged()).isFalse();
        assertThat(probes.get()).isAtMost(1);
    }

    @Test
    void suspectsAMemberAtWhoseAddressAnotherHostAnswers() throws Exception {
        answersFalse = true;
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAX_SECONDS);

        gossip.tick();
        while (stateOfEnded() == MemberState.ALIVE && System.nanoTime() < end) {
            Thread.sleep(10);
        }

        assertThat(stateOfEnded()).isEqualTo(MemberState.SUSPECT);
    }

    private MemberState stateOfEnded() {
        return board.members().find("ended").orElseThrow().state();
    }
}
