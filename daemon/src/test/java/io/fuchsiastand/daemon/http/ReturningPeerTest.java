package io.fuchsiastand.daemon.http;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/** Tests calls to a peer that has refused connections for a while. */
class ReturningPeerTest {

    // Time after a fault from which a daemon counts as stable again.
    private static final Duration STABILITY = Duration.ofSeconds(3);
    private static final int AWAY_MILLIS = 10_500;
    private static final int PAUSE_MILLIS = 50;

    // Guards against a daemon that cannot be asked for tokens or records for some time after it has started again
    // (CONFIG).
    @Test
    void isReachedSoonAfterItHasRefusedConnections() throws Exception {
        Transport transport = new Transport(Optional.empty());
        try (Peers peers = new Peers(transport, Clock.system())) {
            Server first = transport.peerServer(0, new AcknowledgingPeer());
            int port = first.getPort();
            assertThat(answers(peers, port)).isTrue();
            first.shutdownNow().awaitTermination();
            long end = System.nanoTime() + Duration.ofMillis(AWAY_MILLIS).toNanos();
            while (System.nanoTime() < end) {
                assertThat(answers(peers, port)).isFalse();
                Thread.sleep(PAUSE_MILLIS);
            }

            long start = System.nanoTime();
            Server second = transport.peerServer(port, new AcknowledgingPeer());
            while (!answers(peers, port)) {
                Thread.sleep(PAUSE_MILLIS);
            }
            assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(STABILITY);
            second.shutdownNow();
        } finally {
            transport.close();
        }
    }

    private static boolean answers(Peers peers, int port) throws InterruptedException {
        ProbeRequest request = ProbeRequest.getDefaultInstance();
        try {
            return peers.<ProbeReply>call("127.0.0.1", port, STABILITY, (stub, o) -> stub.probe(request, o))
                    .get()
                    .getAcknowledged();
        } catch (ExecutionException e) {
            return false;
        }
    }

    private static final class AcknowledgingPeer extends PeerGrpc.PeerImplBase {

        @Override
        public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
            out.onNext(ProbeReply.newBuilder().setAcknowledged(true).build());
            out.onCompleted();
        }
    }
}
