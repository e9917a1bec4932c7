package io.fuchsiastand.daemon.http;

import java.io.ByteArrayInputStream;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.fuchsiastand.protocol.PeerGrpc;
import io.grpc.CallOptions;
import io.grpc.Channel;
import io.grpc.ClientCall;
import io.grpc.ClientStreamTracer;
import io.grpc.ConnectivityState;
import io.grpc.Deadline;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.api.Executor;

/**
 * Sends frequent short calls to a peer as messages of one gRPC stream, which is opened by the first call. A stream for each
 * call would cost several times the processor time. Other calls, whose messages can be long, have a stream each, so that
 * short ones need not wait for them.
 */
final class PeerStream extends Channel {

    /** The data centre of the peer, an empty string if it is not known yet. */
    static final CallOptions.Key<String> DATA_CENTRE = CallOptions.Key.createWithDefault("data centre", "");

    private static final Set<MethodDescriptor<?, ?>> STREAMED = Set.of(
            PeerGrpc.getProbeMethod(), PeerGrpc.getTakeMethod(), PeerGrpc.getGiveMethod(), PeerGrpc.getLendMethod());
    private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);

    private final ManagedChannel channel;
    private final Executor timer;
    private final Peers.ByteListener byteListener;
    // Null while no stream is open.
    private Stream stream;
    private long calls;
    // False once the peer has said that it does not know the method of the stream.
    private volatile boolean supported = true;

    PeerStream(ManagedChannel channel, Executor timer, Peers.ByteListener byteListener) {
        this.channel = channel;
        this.timer = timer;
        this.byteListener = byteListener;
    }

    @Override
    public <Q, R> ClientCall<Q, R> newCall(MethodDescriptor<Q, R> method, CallOptions options) {
        return supported && STREAMED.contains(method)
                ? new StreamedCall<>(method, options)
                : channel.newCall(method, countBytes(method, options));
    }

    @Override
    public String authority() {
        return channel.authority();
    }

    boolean isFailing() {
        return channel.getState(false) == ConnectivityState.TRANSIENT_FAILURE;
    }

    void resetBackoff() {
        channel.resetConnectBackoff();
    }

    /** Closes the connection after the calls in flight. */
    void shutdown() {
        halfClose();
        channel.shutdown();
    }

    void shutdownNow() {
        channel.shutdownNow();
    }

    private CallOptions countBytes(MethodDescriptor<?, ?> method, CallOptions options) {
        String dataCentre = options.getOption(DATA_CENTRE);
        return options.withStreamTracerFactory(new ClientStreamTracer.Factory() {
            @Override
            public ClientStreamTracer newClientStreamTracer(ClientStreamTracer.StreamInfo info, Metadata headers) {
                return new ClientStreamTracer() {
                    @Override
                    public void outboundWireSize(long bytes) {
                        byteListener.onBytes(method.getBareMethodName(), dataCentre, bytes);
                    }

                    @Override
                    public void inboundWireSize(long bytes) {
                        byteListener.onBytes(method.getBareMethodName(), dataCentre, bytes);
                    }
                };
            }
        });
    }

    private synchronized void send(StreamedCall<?, ?> call, byte[] message) {
        Stream s = stream;
        if (s == null) {
            s = new Stream();
            stream = s;
            s.open();
        }
        calls++;
        s.send(call, new PeerFrame(calls, call.method.getBareMethodName(), 0, message));
    }

    private synchronized void halfClose() {
        if (stream != null) {
            stream.call.halfClose();
            stream = null;
        }
    }

    private synchronized void forget(Stream closed) {
        if (stream == closed) {
            stream = null;
        }
    }

    // Drops a stream with messages that the peer does not take.
    private synchronized void cancelIfBlocked(Stream s) {
        if (stream == s && !s.call.isReady()) {
            stream = null;
            s.call.cancel("the peer does not take messages", null);
        }
    }

    private synchronized void closeIfIdle(Stream s, long callsBefore) {
        if (stream != s) {
            return;
        }
        if (calls == callsBefore) {
            halfClose();
        } else {
            scheduleIdleCheck(s);
        }
    }

    private void scheduleIdleCheck(Stream s) {
        long before = calls;
        timer.schedule(() -> closeIfIdle(s, before), IDLE_TIMEOUT);
    }

    /** A stream, with the calls that have no reply yet. Messages are sent under the lock of the enclosing object. */
    private final class Stream extends ClientCall.Listener<PeerFrame> {

        private final ClientCall<PeerFrame, PeerFrame> call = channel.newCall(PeerFrame.STREAM, CallOptions.DEFAULT);
        private final Map<Long, StreamedCall<?, ?>> outstanding = new ConcurrentHashMap<>();
        private volatile Status end;

        private void open() {
            call.start(this, new Metadata());
            call.request(Integer.MAX_VALUE);
            scheduleIdleCheck(this);
        }

        private void send(StreamedCall<?, ?> c, PeerFrame request) {
            c.sentOn = this;
            c.number = request.call();
            outstanding.put(request.call(), c);
            if (end == null) {
                call.sendMessage(request);
            }
            if (end != null) {
                failAll();
            }
        }

        @Override
        public void onMessage(PeerFrame reply) {
            StreamedCall<?, ?> c = outstanding.remove(reply.call());
            if (c != null) {
                c.complete(reply);
            }
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            end = status.isOk() ? Status.UNAVAILABLE.withDescription("the peer closed the stream") : status;
            supported &= status.getCode() != Status.Code.UNIMPLEMENTED;
            forget(this);
            failAll();
        }

        // On another thread: this one may hold the lock, and those who get the error may call other peers.
        private void failAll() {
            timer.execute(() -> outstanding.keySet().forEach(n -> {
                StreamedCall<?, ?> c = outstanding.remove(n);
                if (c != null) {
                    c.fail(end);
                }
            }));
        }
    }

    /** A unary call whose messages travel in the stream. */
    private final class StreamedCall<Q, R> extends ClientCall<Q, R> {

        private final MethodDescriptor<Q, R> method;
        private final CallOptions options;
        private Listener<R> listener;
        private byte[] request;
        private Cancellable timeout = () -> {};
        private volatile Stream sentOn;
        private volatile long number;

        StreamedCall(MethodDescriptor<Q, R> method, CallOptions options) {
            this.method = method;
            this.options = options;
        }

        @Override
        public void start(Listener<R> responseListener, Metadata headers) {
            listener = responseListener;
        }

        @Override
        public void request(int messages) {
            // A reply has a single message.
        }

        @Override
        public void sendMessage(Q message) {
            request = PeerFrame.encode(method.getRequestMarshaller(), message);
        }

        @Override
        public void halfClose() {
            countBytes(request.length);
            send(this, request);
            // A timeout that came before would not find the call.
            Deadline deadline = options.getDeadline();
            if (deadline != null) {
                long nanos = Math.max(0, deadline.timeRemaining(TimeUnit.NANOSECONDS));
                timeout = timer.schedule(this::onTimeout, Duration.ofNanos(nanos));
            }
        }

        @Override
        public void cancel(String message, Throwable cause) {
            end(Status.CANCELLED.withDescription(message).withCause(cause));
        }

        private void onTimeout() {
            if (end(Status.DEADLINE_EXCEEDED.withDescription("the peer did not answer in time"))) {
                cancelIfBlocked(sentOn);
            }
        }

        // Returns false if the call has ended before.
        private boolean end(Status status) {
            Stream s = sentOn;
            if (s == null || s.outstanding.remove(number) == null) {
                return false;
            }
            fail(status);
            return true;
        }

        private void complete(PeerFrame reply) {
            if (reply.status() != Status.Code.OK.value()) {
                fail(Status.fromCodeValue(reply.status()));
                return;
            }
            timeout.cancel();
            countBytes(reply.message().length);
            R message;
            try {
                message = method.getResponseMarshaller().parse(new ByteArrayInputStream(reply.message()));
            } catch (RuntimeException e) {
                fail(Status.fromThrowable(e));
                return;
            }
            listener.onMessage(message);
            listener.onClose(Status.OK, new Metadata());
        }

        private void fail(Status status) {
            timeout.cancel();
            listener.onClose(status, new Metadata());
        }

        private void countBytes(long bytes) {
            byteListener.onBytes(method.getBareMethodName(), options.getOption(DATA_CENTRE), bytes);
        }
    }
}
