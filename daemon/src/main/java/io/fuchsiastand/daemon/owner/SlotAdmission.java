package io.fuchsiastand.daemon.owner;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import java.util.random.RandomGenerator;

import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.http.RequestCheck;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.memory.RequestBytes;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.queue.QueueOrder;
import io.fuchsiastand.queue.QueueRefusal;
import io.fuchsiastand.queue.RetrySpread;
import io.fuchsiastand.queue.Submission;
import io.fuchsiastand.time.Clock;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.SingleSource;
import io.servicetalk.concurrent.api.Single;

import static io.servicetalk.concurrent.api.Processors.newSingleProcessor;
import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.succeeded;
import static io.servicetalk.concurrent.api.SourceAdapters.fromSource;

/** Waits for slots of backend servers on behalf of calls, and turns the refusals of queues into answers to callers. */
public final class SlotAdmission {

    /**
     * Maximum share of its remaining time that a call waits for a slot while it can be sent elsewhere. The rest is left for an
     * attempt at another backend server or for a retry by the caller.
     */
    public static final double MAX_QUEUE_WAIT_SHARE = 0.25;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Clock clock;
    private final HeaderConventions conventions;
    private final RequestLog log;
    private final Metrics metrics;
    private final RequestAdmission admission;
    private final Executor timer;
    private final RandomGenerator random;
    private final long maxRequestBytes;

    /**
     * Creates the admission of calls to the backend servers of this host.
     *
     * @param clock the clock
     * @param conventions the names of the headers that backend servers use
     * @param log the log of decisions about requests
     * @param metrics the metrics of this daemon
     * @param admission decides whether requests start
     * @param timer runs the timeouts of waiting calls
     * @param random spreads the times after which refused callers return
     * @param maxRequestBytes what the bodies of the requests that a backend server runs may take together, in bytes
     */
    public SlotAdmission(
            Clock clock,
            HeaderConventions conventions,
            RequestLog log,
            Metrics metrics,
            RequestAdmission admission,
            Executor timer,
            RandomGenerator random,
            long maxRequestBytes) {
        this.maxRequestBytes = maxRequestBytes;
        this.clock = clock;
        this.conventions = conventions;
        this.log = log;
        this.metrics = metrics;
        this.admission = admission;
        this.timer = timer;
        this.random = random;
    }

    // The time for which the call is expected to hold a slot; 0 if it is unknown.
    private static long expectedNanos(LocalBackend backend, BackendCall call) {
        return (long) (backend.work().estimates().expectedMillis(call.kind()) * NANOS_PER_MILLI);
    }

    /**
     * Returns the admission of requests.
     *
     * @return the admission, which is without effect if it is switched off
     */
    RequestAdmission requests() {
        return admission;
    }

    /**
     * Waits for a slot, if the request may start. A permit that is granted after the call was cancelled is released at once.
     *
     * @param backend the backend server
     * @param call the call
     * @return the permit for the slot, or a {@link RefusalException}
     */
    Single<FairQueue.Permit> acquire(LocalBackend backend, BackendCall call) {
        return defer(() -> {
            admission.check(call);
            Runnable endWait = backend.work().beginWait(call.kind());
            return admission
                    .measureRoom(call, backend.roomMeter(), waitForSlot(backend, call))
                    .beforeFinally(endWait::run)
                    .flatMap(permit -> admitBody(backend, call, permit));
        });
    }

    private Single<FairQueue.Permit> admitBody(LocalBackend backend, BackendCall call, FairQueue.Permit permit) {
        if (!RequestCheck.hasBody(call.request())) {
            return succeeded(permit);
        }
        long length = RequestCheck.bodyLength(call.request());
        boolean isKnown = length < Long.MAX_VALUE;
        Optional<RequestBytes.Body> body =
                backend.work().requestBytes().tryAdmit(isKnown ? length : 0, maxRequestBytes);
        if (body.isEmpty()) {
            permit.release();
            long waitNanos = backend.queue().estimatedWaitMillis() * NANOS_PER_MILLI;
            QueueRefusal r = new QueueRefusal(ErrorCode.QUEUE_FULL, waitNanos, 0, expectedNanos(backend, call));
            return failed(
                    refusal(backend, call, r, "the requests that the backend server runs leave no room for the body"));
        }
        permit.onRelease(body.get()::release);
        if (!isKnown) {
            call.request()
                    .transformPayloadBody(b -> b.beforeOnNext(part -> body.get().add(part.readableBytes())));
        }
        return succeeded(permit);
    }

    private Single<FairQueue.Permit> waitForSlot(LocalBackend backend, BackendCall call) {
        SingleSource.Processor<FairQueue.Permit, FairQueue.Permit> result = newSingleProcessor();
        SlotRequest s = new SlotRequest();
        long start = clock.nanoTime();
        Submission submission = Submission.builder(call.team(), call.deadline())
                .priority(call.urgency())
                .target(call.target())
                .expectedNanos(expectedNanos(backend, call))
                .maxWaitNanos(maxWaitNanos(backend, call, start))
                .build();
        s.setRemoval(backend.queue()
                .submit(
                        submission,
                        permit -> {
                            if (s.grant(permit)) {
                                metrics.recordQueueWait(submission.priority(), clock.nanoTime() - start);
                                result.onSuccess(permit);
                            }
                        },
                        r -> result.onError(refusal(backend, call, r, r.code().title()))));
        return fromSource(result)
                .beforeCancel(s::cancel)
                .timeout(Duration.ofNanos(Math.max(1, submission.maxWaitNanos())), timer)
                .onErrorMap(TimeoutException.class, e -> refusalAfterWait(backend, call, submission));
    }

    // A call for which no other backend server is left waits as long as it can still finish by its deadline.
    private static boolean waitsAsLastResort(LocalBackend backend, BackendCall call) {
        return backend.queue().order() == QueueOrder.DUE_DATE && call.lastResort();
    }

    private static long maxWaitNanos(LocalBackend backend, BackendCall call, long now) {
        long left = call.deadline() - now;
        return waitsAsLastResort(backend, call)
                ? left - expectedNanos(backend, call)
                : (long) (MAX_QUEUE_WAIT_SHARE * left);
    }

    private RefusalException refusalAfterWait(LocalBackend backend, BackendCall call, Submission s) {
        boolean wasLastResort = waitsAsLastResort(backend, call);
        ErrorCode code = wasLastResort ? ErrorCode.DEADLINE_NOT_RUN : ErrorCode.QUEUE_FULL;
        String detail = wasLastResort
                ? "the call got no slot in time to finish by its deadline"
                : "the call got no slot within a quarter of its time";
        long waitNanos = backend.queue().estimatedWaitMillis() * NANOS_PER_MILLI;
        return refusal(backend, call, new QueueRefusal(code, waitNanos, 0, s.expectedNanos()), detail);
    }

    private RefusalException refusal(LocalBackend backend, BackendCall call, QueueRefusal r, String detail) {
        metrics.recordQueueRefusal(call.urgency(), r.code().code());
        log.write(
                "no slot",
                conventions.requestIdOf(call.request().headers()),
                "server",
                call.backend(),
                "code",
                r.code().code(),
                "load",
                backend.queue().load(),
                "slots",
                backend.announcement().slots(),
                "wait ms",
                r.waitNanos() / NANOS_PER_MILLI,
                "work before ms",
                r.workBeforeNanos() / NANOS_PER_MILLI,
                "own work ms",
                r.expectedNanos() / NANOS_PER_MILLI);
        return RefusalException.notSent(r.code(), detail, retryAfterMillis(backend, call, r));
    }

    private long retryAfterMillis(LocalBackend backend, BackendCall call, QueueRefusal r) {
        if (backend.queue().order() == QueueOrder.ARRIVAL) {
            return backend.queue().estimatedWaitMillis();
        }
        long latest = call.deadline() - clock.nanoTime() - r.expectedNanos();
        return RetrySpread.retryAfterMillis(r.waitNanos(), latest, random);
    }
}
