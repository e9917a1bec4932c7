package io.fuchsiastand.bench.capacity;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;

import com.sun.management.OperatingSystemMXBean;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.protocol.AcquireReply;
import io.fuchsiastand.protocol.AcquireRequest;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.time.Clock;
import io.grpc.Server;
import io.grpc.stub.StreamObserver;

/**
 * Measures the bytes and the processor time of one call between two daemons that acquires a token, over the loopback
 * interface.
 */
final class PeerCost {

    private static final int WARMUP_CALLS = 100_000;
    private static final int COUNTED_CALLS = 2_000;
    private static final int WARMUP_MAX_IN_FLIGHT = 4;
    // At full size, a daemon sends and answers about this many calls per second in total. At this rate, each call wakes
    // idle threads.
    private static final int PACED_CALLS_PER_SECOND = 130;
    private static final int PACED_CALLS = 10 * PACED_CALLS_PER_SECOND;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private PeerCost() {}

    /**
     * The cost of one call that acquires a token.
     *
     * @param cpuNanos processor time of both sides together, in nanoseconds, less the time that the idle process uses
     * @param bytes bytes in both directions, with an estimate of the TCP and IP headers
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
                Peers peers = new Peers(transport, Clock.system())) {
            call(peers, server.getPort(), WARMUP_CALLS, WARMUP_MAX_IN_FLIGHT, 0);
            call(peers, relay.port(), COUNTED_CALLS, 1, 0);
            long bytesBefore = relay.bytes();
            call(peers, relay.port(), COUNTED_CALLS, 1, 0);
            double bytes = (relay.bytes() - bytesBefore) / (double) COUNTED_CALLS;
            OperatingSystemMXBean os = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
            long idleStart = os.getProcessCpuTime();
            Thread.sleep(
                    Duration.ofSeconds(PACED_CALLS / PACED_CALLS_PER_SECOND).toMillis());
            long start = os.getProcessCpuTime();
            call(peers, server.getPort(), PACED_CALLS, 1, PACED_CALLS_PER_SECOND);
            double cpu = os.getProcessCpuTime() - start - (start - idleStart);
            return new Cost(cpu / PACED_CALLS, bytes);
        } finally {
            server.shutdownNow();
            transport.close();
        }
    }

    private static void call(Peers peers, int port, int calls, int maxInFlight, int perSecond) throws Exception {
        AcquireRequest request = AcquireRequest.newBuilder()
                .setFrom("host-123")
                .setShard(1234)
                .setTeam("team-12345")
                .setService("service-123")
                .build();
        Semaphore permits = new Semaphore(maxInFlight);
        long start = System.nanoTime();
        for (int i = 0; i < calls; i++) {
            permits.acquire();
            if (perSecond > 0) {
                long due = start + i * (NANOS_PER_SECOND / perSecond);
                LockSupport.parkNanos(due - System.nanoTime());
            }
            peers.<AcquireReply>call("127.0.0.1", port, TIMEOUT, (stub, o) -> stub.acquire(request, o))
                    .whenComplete((r, e) -> permits.release());
        }
        permits.acquire(maxInFlight);
    }
}
