package io.fuchsiastand.daemon.http;

import io.fuchsiastand.error.ErrorCode;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.PublisherSource.Subscriber;
import io.servicetalk.concurrent.PublisherSource.Subscription;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * Reads the rest of a request body that is no longer needed, because the call has failed while the client still sends it.
 * Without this, ServiceTalk closes the connection of the client when the body is cancelled, before the response is sent.
 */
public final class RequestBodyDrain {

    private RequestBodyDrain() {}

    /**
     * Lets a request body be drained when it is cancelled.
     *
     * @param request the request, whose body is not subscribed to yet
     * @param maxBytes the maximum number of bytes to read after the cancellation; a client that sends more loses its
     *     connection
     */
    public static void install(StreamingHttpRequest request, long maxBytes) {
        request.transformMessageBody(body -> body.liftSync(s -> new DrainingSubscriber<>(s, Long.MAX_VALUE, maxBytes)));
    }

    /**
     * Lets a request body be drained when it is cancelled or becomes too long. A body that becomes too long fails with a
     * {@link RefusalException} with {@link ErrorCode#BODY_TOO_LARGE}; as a part of it was passed on, the request may run.
     *
     * @param request the request, whose body is not subscribed to yet
     * @param maxBytes the maximum length of the body, and of what is read beyond it; a client that sends more loses its
     *     connection
     */
    public static void installWithLimit(StreamingHttpRequest request, long maxBytes) {
        request.transformMessageBody(body -> body.liftSync(s -> new DrainingSubscriber<>(s, maxBytes, maxBytes)));
    }

    private static final class DrainingSubscriber<T> implements Subscriber<T>, Subscription {

        private final Subscriber<? super T> target;
        private final long maxBytes;
        private long bytes;
        private long remainingBytes;
        private Subscription source;
        private volatile boolean draining;

        private DrainingSubscriber(Subscriber<? super T> target, long maxBytes, long maxDrainedBytes) {
            this.target = target;
            this.maxBytes = maxBytes;
            remainingBytes = maxDrainedBytes;
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            source = subscription;
            target.onSubscribe(this);
        }

        @Override
        public void request(long n) {
            if (!draining) {
                source.request(n);
            }
        }

        @Override
        public void cancel() {
            if (!draining) {
                draining = true;
                source.request(Long.MAX_VALUE);
            }
        }

        @Override
        public void onNext(T part) {
            long length = part instanceof Buffer b ? b.readableBytes() : 0;
            bytes += length;
            if (!draining && bytes > maxBytes) {
                draining = true;
                target.onError(RefusalException.mayHaveRun(
                        ErrorCode.BODY_TOO_LARGE, "the body has more than " + maxBytes + " bytes", null));
                source.request(Long.MAX_VALUE);
            } else if (!draining) {
                target.onNext(part);
            } else {
                remainingBytes -= length;
                if (remainingBytes < 0) {
                    source.cancel();
                }
            }
        }

        @Override
        public void onError(Throwable t) {
            if (!draining) {
                target.onError(t);
            }
        }

        @Override
        public void onComplete() {
            if (!draining) {
                target.onComplete();
            }
        }
    }
}
