package io.fuchsiastand.daemon.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.protocol.ProbeReply;
import io.fuchsiastand.protocol.ProbeRequest;
import io.fuchsiastand.protocol.SyncReply;
import io.fuchsiastand.protocol.SyncRequest;
import io.fuchsiastand.time.Clock;
import io.grpc.Metadata;
import io.grpc.Server;
import io.grpc.ServerStreamTracer;
import io.grpc.Status;
import io.grpc.netty.NettyServerBuilder;
import io.grpc.stub.StreamObserver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

class PeerStreamTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Transport transport = new Transport(Optional.empty());
    private final Peers peers = new Peers(transport, Clock.system());
    private final AtomicInteger streams = new AtomicInteger();
    private Server server;

    @AfterEach
    void close() {
        peers.close();
        server.shutdownNow();
        transport.close();
    }

    @Test
    void probesShareOneStreamAndLongMessagesHaveTheirOwn() throws Exception {
        start(true);
        List<CompletableFuture<ProbeReply>> replies =
                IntStream.range(0, 100).mapToObj(i -> probe("h" + i, TIMEOUT)).toList();
        for (CompletableFuture<ProbeReply> r : replies) {
            assertThat(r.get().getAcknowledged()).isTrue();
        }
        assertThat(streams.get()).isEqualTo(1);

        peers.<SyncReply>call(
                        "127.0.0.1",
                        server.getPort(),
                        TIMEOUT,
                        (stub, o) -> stub.sync(SyncRequest.getDefaultInstance(), o))
                .get();
        assertThat(streams.get()).isEqualTo(2);
    }

    @Test
    void aCallWithoutAnAnswerTimesOutAndTheOthersAreAnswered() throws Exception {
        start(true);
        CompletableFuture<ProbeReply> silent = probe("silent", Duration.ofMillis(300));
        assertThat(probe("h1", TIMEOUT).get().getAcknowledged()).isTrue();
        assertThat(statusOf(silent)).isEqualTo(Status.Code.DEADLINE_EXCEEDED);
        assertThat(probe("h2", TIMEOUT).get().getAcknowledged()).isTrue();
    }

    // Guards against a timeout that comes before the call is sent, after which the call would never end.
    @Test
    void callsWithoutTimeLeftTimeOut() throws Exception {
        start(true);
        probe("h1", TIMEOUT).get();
        List<CompletableFuture<ProbeReply>> calls = IntStream.range(0, 2_000)
                .mapToObj(i -> probe("silent", Duration.ZERO))
                .toList();
        for (CompletableFuture<ProbeReply> c : calls) {
            assertThat(statusOf(c)).isEqualTo(Status.Code.DEADLINE_EXCEEDED);
        }
    }

    @Test
    void aFailedCallFailsAlone() throws Exception {
        start(true);
        CompletableFuture<ProbeReply> failed = probe("failing", TIMEOUT);
        assertThat(statusOf(failed)).isEqualTo(Status.Code.UNKNOWN);
        assertThat(probe("h1", TIMEOUT).get().getAcknowledged()).isTrue();
        assertThat(streams.get()).isEqualTo(1);
    }

    @Test
    void callsInFlightFailAtOnceWhenThePeerEnds() throws Exception {
        start(true);
        CompletableFuture<ProbeReply> silent = probe("silent", Duration.ofMinutes(1));
        probe("h1", TIMEOUT).get();
        server.shutdownNow();
        assertThrows(ExecutionException.class, () -> silent.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
    }

    @Test
    void aPeerThatDoesNotKnowTheStreamIsCalledWithoutIt() throws Exception {
        start(false);
        assertThat(statusOf(probe("h1", TIMEOUT))).isEqualTo(Status.Code.UNIMPLEMENTED);
        assertThat(probe("h1", TIMEOUT).get().getAcknowledged()).isTrue();
    }

    private void start(boolean streaming) throws Exception {
        TestPeer service = new TestPeer();
        NettyServerBuilder b = NettyServerBuilder.forPort(0)
                .addService(service)
                .addStreamTracerFactory(new ServerStreamTracer.Factory() {
                    @Override
                    public ServerStreamTracer newServerStreamTracer(String method, Metadata headers) {
                        streams.incrementAndGet();
                        return new ServerStreamTracer() {};
                    }
                });
        if (streaming) {
            b.addService(PeerStreamServer.streaming(service.bindService()));
        }
        server = b.build().start();
    }

    private CompletableFuture<ProbeReply> probe(String target, Duration timeout) {
        ProbeRequest request = ProbeRequest.newBuilder().setTarget(target).build();
        return peers.call("127.0.0.1", server.getPort(), timeout, (stub, o) -> stub.probe(request, o));
    }

    private static Status.Code statusOf(CompletableFuture<?> call) {
        ExecutionException e =
                assertThrows(ExecutionException.class, () -> call.get(TIMEOUT.toSeconds(), TimeUnit.SECONDS));
        return Status.fromThrowable(e.getCause()).getCode();
    }

    /** Acknowledges probes, except for two targets. */
    private static final class TestPeer extends PeerGrpc.PeerImplBase {

        @Override
        public void probe(ProbeRequest request, StreamObserver<ProbeReply> out) {
            if (request.getTarget().equals("failing")) {
                throw new IllegalStateException("failing");
            }
            if (!request.getTarget().equals("silent")) {
                out.onNext(ProbeReply.newBuilder().setAcknowledged(true).build());
                out.onCompleted();
            }
        }

        @Override
        public void sync(SyncRequest request, StreamObserver<SyncReply> out) {
            out.onNext(SyncReply.getDefaultInstance());
            out.onCompleted();
        }
    }
}
