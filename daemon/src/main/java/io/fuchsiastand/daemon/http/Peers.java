package io.fuchsiastand.daemon.http;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import io.fuchsiastand.membership.Member;
import io.fuchsiastand.protocol.PeerGrpc;
import io.fuchsiastand.time.Clock;
import io.grpc.stub.StreamObserver;
import io.servicetalk.http.api.StreamingHttpClient;

/** Connections to other daemons, opened on first use and closed when the member has died or left. */
public final class Peers implements AutoCloseable {

    // gRPC waits longer and longer, up to 2 min, before it connects again to a peer that refuses connections.
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);

    private final Transport transport;
    private final Clock clock;
    private final ByteListener byteListener;
    private final Map<String, PeerStream> channels = new ConcurrentHashMap<>();
    private final Map<String, Long> backoffResetNanos = new ConcurrentHashMap<>();
    private final Map<String, StreamingHttpClient> clients = new ConcurrentHashMap<>();

    /**
     * Creates a set of connections, which is empty at first.
     *
     * @param transport creates channels and clients
     * @param clock the clock
     */
    public Peers(Transport transport, Clock clock) {
        this(transport, clock, (kind, dataCentre, bytes) -> {});
    }

    /**
     * Creates a set of connections, which is empty at first.
     *
     * @param transport creates channels and clients
     * @param clock the clock
     * @param byteListener receives the bytes of control messages
     */
    public Peers(Transport transport, Clock clock, ByteListener byteListener) {
        this.transport = transport;
        this.clock = clock;
        this.byteListener = byteListener;
    }

    /** Receives the number of bytes of a control message that this daemon sends as a request or receives as a reply. */
    @FunctionalInterface
    public interface ByteListener {

        /**
         * Called for each message.
         *
         * @param kind the name of the method
         * @param dataCentre the data centre of the peer, or an empty string if it is not known yet
         * @param bytes the length of the message, without frames and header fields
         */
        void onBytes(String kind, String dataCentre, long bytes);
    }

    /**
     * Calls a method of a peer.
     *
     * @param address the IP address of the peer
     * @param port its peer port
     * @param timeout the maximum time until the reply
     * @param call starts the call on a stub
     * @param <T> the type of the reply
     * @return a future that completes with the reply or with an error
     */
    public <T> CompletableFuture<T> call(
            String address, int port, Duration timeout, BiConsumer<PeerGrpc.PeerStub, StreamObserver<T>> call) {
        return call(address, port, "", timeout, call);
    }

    private <T> CompletableFuture<T> call(
            String address,
            int port,
            String dataCentre,
            Duration timeout,
            BiConsumer<PeerGrpc.PeerStub, StreamObserver<T>> call) {
        CompletableFuture<T> out = new CompletableFuture<>();
        String key = address + ':' + port;
        PeerStream channel = channels.computeIfAbsent(
                key, k -> new PeerStream(transport.peerChannel(address, port), transport.timer(), byteListener));
        limitBackoff(key, channel);
        PeerGrpc.PeerStub stub = PeerGrpc.newStub(channel)
                .withOption(PeerStream.DATA_CENTRE, dataCentre)
                .withDeadlineAfter(timeout.toMillis(), TimeUnit.MILLISECONDS);
        call.accept(stub, new FutureObserver<>(out));
        return out;
    }

    /**
     * Calls a method of a member.
     *
     * @param member the member
     * @param timeout the maximum time until the reply
     * @param call starts the call on a stub
     * @param <T> the type of the reply
     * @return a future that completes with the reply or with an error
     */
    public <T> CompletableFuture<T> call(
            Member member, Duration timeout, BiConsumer<PeerGrpc.PeerStub, StreamObserver<T>> call) {
        return call(member.address(), member.peerPort(), member.dataCentre(), timeout, call);
    }

    /**
     * Returns the client for calls that are forwarded to a member.
     *
     * @param member the member
     * @return a client with pooled connections
     */
    public StreamingHttpClient dataClient(Member member) {
        return clients.computeIfAbsent(
                member.address() + ':' + member.dataPort(),
                k -> transport.dataClient(member.address(), member.dataPort()));
    }

    /**
     * Closes the connections to a member that has failed or left.
     *
     * @param member the member
     */
    public void closeConnections(Member member) {
        String key = member.address() + ':' + member.peerPort();
        backoffResetNanos.remove(key);
        PeerStream channel = channels.remove(key);
        if (channel != null) {
            channel.shutdown();
        }
        StreamingHttpClient client = clients.remove(member.address() + ':' + member.dataPort());
        if (client != null) {
            client.closeAsyncGracefully().subscribe();
        }
    }

    private void limitBackoff(String key, PeerStream channel) {
        if (!channel.isFailing()) {
            return;
        }
        long now = clock.nanoTime();
        Long last = backoffResetNanos.get(key);
        if (last == null || now - last >= MAX_BACKOFF.toNanos()) {
            backoffResetNanos.put(key, now);
            channel.resetBackoff();
        }
    }

    @Override
    public void close() {
        channels.values().forEach(PeerStream::shutdownNow);
        clients.values().forEach(c -> c.closeAsync().subscribe());
    }

    /** Completes a future with the single reply of a call. */
    private record FutureObserver<T>(CompletableFuture<T> out) implements StreamObserver<T> {

        @Override
        public void onNext(T value) {
            out.complete(value);
        }

        @Override
        public void onError(Throwable t) {
            out.completeExceptionally(t);
        }

        @Override
        public void onCompleted() {
            out.completeExceptionally(new IllegalStateException("a peer ended a call without a reply"));
        }
    }
}
