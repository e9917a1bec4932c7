package io.fuchsiastand.daemon.http;

import java.io.ByteArrayInputStream;
import java.util.HashMap;
import java.util.Map;

import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.ServerCall;
import io.grpc.ServerCallHandler;
import io.grpc.ServerMethodDefinition;
import io.grpc.ServerServiceDefinition;
import io.grpc.Status;

/** Answers the calls that peers send as messages of a stream, with the methods of a service. */
final class PeerStreamServer implements ServerCallHandler<PeerFrame, PeerFrame> {

    private static final byte[] NO_MESSAGE = {};

    private final Map<String, ServerMethodDefinition<?, ?>> methods = new HashMap<>();

    private PeerStreamServer(ServerServiceDefinition service) {
        service.getMethods().forEach(m -> methods.put(m.getMethodDescriptor().getBareMethodName(), m));
    }

    /** Returns the service whose streams carry calls of the unary methods of another service. */
    static ServerServiceDefinition streaming(ServerServiceDefinition service) {
        return ServerServiceDefinition.builder(PeerFrame.STREAM.getServiceName())
                .addMethod(PeerFrame.STREAM, new PeerStreamServer(service))
                .build();
    }

    @Override
    public ServerCall.Listener<PeerFrame> startCall(ServerCall<PeerFrame, PeerFrame> stream, Metadata headers) {
        stream.sendHeaders(new Metadata());
        stream.request(Integer.MAX_VALUE);
        return new Stream(stream);
    }

    private final class Stream extends ServerCall.Listener<PeerFrame> {

        private final ServerCall<PeerFrame, PeerFrame> call;
        private int outstanding;
        private boolean halfClosed;
        private boolean closed;

        Stream(ServerCall<PeerFrame, PeerFrame> call) {
            this.call = call;
        }

        @Override
        public void onMessage(PeerFrame request) {
            synchronized (this) {
                outstanding++;
            }
            ServerMethodDefinition<?, ?> method = methods.get(request.method());
            if (method == null) {
                reply(new PeerFrame(request.call(), "", Status.Code.UNIMPLEMENTED.value(), NO_MESSAGE));
            } else {
                answer(method, request);
            }
        }

        private <Q, R> void answer(ServerMethodDefinition<Q, R> method, PeerFrame request) {
            StreamedCall<Q, R> c = new StreamedCall<>(this, method.getMethodDescriptor(), request.call());
            try {
                ServerCall.Listener<Q> listener = method.getServerCallHandler().startCall(c, new Metadata());
                listener.onMessage(
                        method.getMethodDescriptor().parseRequest(new ByteArrayInputStream(request.message())));
                listener.onHalfClose();
            } catch (RuntimeException e) {
                c.close(Status.fromThrowable(e), new Metadata());
            }
        }

        private synchronized void reply(PeerFrame reply) {
            outstanding--;
            if (!closed) {
                call.sendMessage(reply);
            }
            closeIfDone();
        }

        @Override
        public synchronized void onHalfClose() {
            halfClosed = true;
            closeIfDone();
        }

        @Override
        public synchronized void onCancel() {
            closed = true;
        }

        private void closeIfDone() {
            if (halfClosed && outstanding == 0 && !closed) {
                closed = true;
                call.close(Status.OK, new Metadata());
            }
        }
    }

    /** A unary call whose messages travel in a stream. */
    private static final class StreamedCall<Q, R> extends ServerCall<Q, R> {

        private final Stream stream;
        private final MethodDescriptor<Q, R> method;
        private final long number;
        private byte[] message = NO_MESSAGE;
        private boolean ended;

        StreamedCall(Stream stream, MethodDescriptor<Q, R> method, long number) {
            this.stream = stream;
            this.method = method;
            this.number = number;
        }

        @Override
        public void request(int messages) {
            // A request has a single message.
        }

        @Override
        public void sendHeaders(Metadata headers) {
            // The stream has sent its own.
        }

        @Override
        public void sendMessage(R reply) {
            message = PeerFrame.encode(method.getResponseMarshaller(), reply);
        }

        @Override
        public void close(Status status, Metadata trailers) {
            synchronized (this) {
                if (ended) {
                    return;
                }
                ended = true;
            }
            byte[] body = status.isOk() ? message : NO_MESSAGE;
            stream.reply(new PeerFrame(number, "", status.getCode().value(), body));
        }

        @Override
        public boolean isCancelled() {
            return false;
        }

        @Override
        public MethodDescriptor<Q, R> getMethodDescriptor() {
            return method;
        }
    }
}
