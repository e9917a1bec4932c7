package io.fuchsiastand.daemon.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.memory.ReadAhead;
import io.fuchsiastand.memory.SharedBuffer;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.Cancellable;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.PublisherSource.Subscriber;
import io.servicetalk.concurrent.PublisherSource.Subscription;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.tinylog.Logger;

/**
 * Reads responses ahead of callers that read slowly, so that their backend servers can finish them. {@link ReadAhead} decides
 * how far. What was read before an error is delivered before the error, until the deadline. A response of which the caller takes nothing for a
 * time, although it has been read to its end, is ended.
 */
public final class ResponseReadAhead {

    private static final int PART_COST_BYTES = 200;
    private static final int FIELD_COST_BYTES = 320;

    private final SharedBuffer buffer;
    private final Executor timer;
    private final Duration maxUnread;
    private final AtomicLong unreadBytes = new AtomicLong();
    private final AtomicLong stalls = new AtomicLong();

    /**
     * Creates the read-ahead of a host.
     *
     * @param buffer the memory of the host for messages
     * @param timer runs the checks of responses that are not read
     * @param maxUnread the time after which a response of which the caller takes nothing is ended
     */
    ResponseReadAhead(SharedBuffer buffer, Executor timer, Duration maxUnread) {
        this.buffer = buffer;
        this.timer = timer;
        this.maxUnread = maxUnread;
    }

    /**
     * Lets the body of a response be read ahead of its reader.
     *
     * @param response the response
     * @param isOverdue returns whether the deadline has passed, after which a response that has failed ends at once
     * @return the same response
     */
    public StreamingHttpResponse apply(StreamingHttpResponse response, BooleanSupplier isOverdue) {
        return response.transformMessageBody(b -> b.liftSync(s -> new BufferingSubscriber<>(s, isOverdue)));
    }

    /**
     * Returns what is held for slow readers.
     *
     * @return the size in bytes
     */
    public long unreadBytes() {
        return unreadBytes.get();
    }

    /**
     * Returns how many responses were ended because their callers did not read.
     *
     * @return the number since the start
     */
    public long stalls() {
        return stalls.get();
    }

    private static long costOf(Object part) {
        if (part instanceof Buffer b) {
            return PART_COST_BYTES + b.readableBytes();
        }
        return part instanceof HttpHeaders h ? PART_COST_BYTES + (long) h.size() * FIELD_COST_BYTES : PART_COST_BYTES;
    }

    // Signals come from the threads of the source, of the reader and of the timer. The thread that finds no
    // other one at work handles them all.
    private final class BufferingSubscriber<T> implements Subscriber<T>, Subscription {

        private final Subscriber<? super T> target;
        private final BooleanSupplier isOverdue;
        private final ReadAhead<T> ahead =
                new ReadAhead<>(buffer.newShare(() -> drop("the host has no room")), ResponseReadAhead::costOf);
        private final Queue<T> received = new ConcurrentLinkedQueue<>();
        private final AtomicLong requested = new AtomicLong();
        private final AtomicInteger signals = new AtomicInteger();
        private Subscription source;
        private Throwable error;
        private volatile boolean sourceEnded;
        private volatile boolean cancelled;
        private volatile String dropReason;
        private long delivered;
        private long deliveredBefore;
        private long countedBytes;
        private Cancellable stallCheck;
        private volatile boolean stallCheckDue;
        private boolean ended;

        private BufferingSubscriber(Subscriber<? super T> target, BooleanSupplier isOverdue) {
            this.target = target;
            this.isOverdue = isOverdue;
        }

        @Override
        public void onSubscribe(Subscription subscription) {
            source = subscription;
            target.onSubscribe(this);
        }

        @Override
        public void request(long n) {
            if (n <= 0) {
                source.request(n);
                return;
            }
            requested.accumulateAndGet(n, (a, b) -> a + b < 0 ? Long.MAX_VALUE : a + b);
            signal();
        }

        @Override
        public void cancel() {
            cancelled = true;
            signal();
        }

        @Override
        public void onNext(T part) {
            received.add(part);
            signal();
        }

        @Override
        public void onError(Throwable t) {
            error = t;
            sourceEnded = true;
            signal();
        }

        @Override
        public void onComplete() {
            sourceEnded = true;
            signal();
        }

        private void drop(String reason) {
            dropReason = reason;
            signal();
        }

        private void signal() {
            if (signals.getAndIncrement() > 0) {
                return;
            }
            int handled = 1;
            while (handled != 0) {
                try {
                    handle();
                } catch (RuntimeException | Error e) {
                    // No later signal would be handled if it left the loop.
                    fail(e);
                }
                handled = signals.addAndGet(-handled);
            }
        }

        private void handle() {
            if (ended) {
                received.clear();
                return;
            }
            // Read first: all parts have been received if it is set.
            boolean complete = sourceEnded;
            for (T part = received.poll(); part != null; part = received.poll()) {
                ahead.add(part);
            }
            boolean endsNow = complete && error != null && isOverdue.getAsBoolean();
            while (!endsNow && !cancelled && delivered < requested.get() && !ahead.isEmpty()) {
                delivered++;
                target.onNext(ahead.poll());
            }
            if (cancelled) {
                end();
            } else if (endsNow || (complete && ahead.isEmpty())) {
                end();
                finish();
            } else if (dropReason != null) {
                Logger.info(
                        "{} ending a response with {} unread bytes: {}",
                        ErrorCode.OVERLOADED.code(),
                        ahead.partBytes(),
                        dropReason);
                fail(new IOException("a response that was not read was ended: " + dropReason));
            } else if (complete) {
                ahead.complete();
                countUnread();
                checkStall();
            } else {
                long n = ahead.request(requested.get() - delivered);
                countUnread();
                if (n > 0) {
                    source.request(n);
                }
            }
        }

        private void finish() {
            if (error == null) {
                target.onComplete();
            } else {
                target.onError(error);
            }
        }

        private void fail(Throwable e) {
            if (!ended) {
                end();
                target.onError(e);
            }
        }

        private void end() {
            ended = true;
            if (!sourceEnded) {
                source.cancel();
            }
            ahead.clear();
            received.clear();
            countUnread();
            if (stallCheck != null) {
                stallCheck.cancel();
            }
        }

        private void countUnread() {
            long bytes = ahead.partBytes();
            if (bytes != countedBytes) {
                unreadBytes.addAndGet(bytes - countedBytes);
                countedBytes = bytes;
            }
        }

        // Called while the response is complete and not read.
        private void checkStall() {
            if (stallCheck != null && !stallCheckDue) {
                return;
            }
            if (stallCheckDue && delivered == deliveredBefore) {
                stalls.incrementAndGet();
                drop("its caller took nothing for " + maxUnread.toSeconds() + " s");
                return;
            }
            stallCheckDue = false;
            deliveredBefore = delivered;
            stallCheck = timer.schedule(
                    () -> {
                        stallCheckDue = true;
                        signal();
                    },
                    maxUnread);
        }
    }
}
