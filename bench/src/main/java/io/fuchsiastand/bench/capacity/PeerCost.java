package io.fuchsiastand.bench.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Semaphore;

import com.sun.management.OperatingSystemMXBean;
import io.fuchsiastand.daemon.Peers;
import io.fuchsiastand.daemon.Transport;
import io.fuchsiastand.protocol.AcquireReply;
import io.fuchsiastand.protocol.AcquireRequest;
import io.fuchsiastand.protocol.PeerGrpc;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;

/** Measures what one control message between daemons costs on the wire and in processor time, over loopback. */
final class PeerCost {

    private static final int WARM = 60_000;
    private static final int CALLS = 40_000;
    private static final int OPEN = 4;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private PeerCost() {}

    /**
     * The cost of one call.
     *
     * @param cpuNanos processor time of both sides together
     * @param bytes bytes in both directions, with the headers of TCP and IP
     */
    record Cost(double cpuNanos, double bytes) {}

    static Cost measure() throws Exception {
        Transport transport = new Transport(Optional.empty());
        Server server = transport.peerServer(0, new PeerGrpc.PeerImplBase() {
            @Override
            public void acquire(AcquireRequest request, StreamObserver<AcquireReply> out) {
                out.onNext(AcquireReply.newBuilder().setRemaining(17).build());
                out.onCompleted();
            }
        });
        try (CountingRelay relay = new CountingRelay(server.getPort());
                Peers peers = new Peers(transport)) {
            call(peers, relay.port(), WARM);
            OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long relayed = relay.bytes();
            call(peers, relay.port(), CALLS);
            double bytes = (relay.bytes() - relayed) / (double) CALLS;
            call(peers, server.getPort(), WARM);
            long cpu = os.getProcessCpuTime();
            call(peers, server.getPort(), CALLS);
            return new Cost((os.getProcessCpuTime() - cpu) / (double) CALLS, bytes);
        } finally {
            server.shutdownNow();
            transport.close();
        }
    }

    private static void call(Peers peers, int port, int calls) throws Exception {
        AcquireRequest request = AcquireRequest.newBuilder()
                .setFrom("host-123")
                .setShard(1234)
                .setTeam("team-12345")
                .setService("service-123")
                .build();
        Semaphore open = new Semaphore(OPEN);
        for (int i = 0; i < calls; i++) {
            open.acquire();
            peers.<AcquireReply>call("127.0.0.1", port, TIMEOUT, (stub, o) -> stub.acquire(request, o))
                    .whenComplete((r, e) -> open.release());
        }
        open.acquire(OPEN);
    }
}
