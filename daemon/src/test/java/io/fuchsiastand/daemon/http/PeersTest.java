package io.fuchsiastand.daemon.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.MemberState;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

class PeersTest {

    @Test
    void countsTheBytesOfRequestsAndRepliesByKindAndDataCentre() throws Exception {
        ProbeRequest request = ProbeRequest.newBuilder().setFrom("h1").build();
        ProbeReply reply = ProbeReply.newBuilder().setAcknowledged(true).build();
        AtomicLong counted = new AtomicLong();
        Transport transport = new Transport(Optional.empty());
        Server server = transport.peerServer(0, new PeerGrpc.PeerImplBase() {
            @Override
            public void probe(ProbeRequest r, StreamObserver<ProbeReply> out) {
                out.onNext(reply);
                out.onCompleted();
            }
        });
        Member member = new Member("h2", "127.0.0.1", 1, server.getPort(), "zurich", 1, MemberState.ALIVE, 0);
        try (Peers peers = new Peers(transport, Clock.system(), (kind, dataCentre, bytes) -> {
            if (kind.equals("Probe") && dataCentre.equals("zurich")) {
                counted.addAndGet(bytes);
            }
        })) {
            peers.<ProbeReply>call(member, Duration.ofSeconds(5), (stub, o) -> stub.probe(request, o))
                    .get(5, TimeUnit.SECONDS);
        } finally {
            server.shutdownNow();
            transport.close();
        }

        assertThat(counted.get()).isEqualTo(request.getSerializedSize() + reply.getSerializedSize());
    }
}
