package io.fuchsiastand.daemon.owner;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.http.DisconnectDetection;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.ProblemResponses;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.http.RequestBodyDrain;
import io.fuchsiastand.daemon.http.RequestCheck;
import io.fuchsiastand.daemon.http.ResponseReadAhead;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.health.Outcome;
import io.fuchsiastand.http.UndelimitedResponses;
import io.fuchsiastand.queue.FairQueue;
import io.fuchsiastand.routing.BackendState;
import io.fuchsiastand.time.Clock;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.transport.api.RetryableException;

import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * Runs calls on the backend servers of this host, for the ingress daemons. This daemon is called the owner of these backend
 * servers. Every call to them passes through this service, so it manages their queues and slots, observes the result of each
 * call and can state that a call has not run.
 */
public final class OwnerService implements StreamingHttpService {

    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int SERVER_ERROR = 500;
    private static final int CLIENT_ERROR = 400;
    private static final int MISDIRECTED_REQUEST = 421;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private final Function<String, Optional<LocalBackend>> backends;
    private final Consumer<LocalBackend> onLeaving;
    private final Clock clock;
    private final String host;
    private final HeaderConventions conventions;
    private final RequestLog log;
    private final Executor timer;
    private final ResponseReadAhead readAhead;
    private final SlotAdmission slots;
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param backends finds a backend server of this host by name
     * @param onLeaving called with a backend server that states in a response that it is about to leave
     * @param clock the clock
     * @param host the name of this host
     * @param conventions the names of the headers that backend servers use
     * @param log the log of decisions about requests
     * @param slots lets calls wait for a slot of their backend server
     * @param transport has the timer for calls, and reads responses ahead of slow readers
     */
    public OwnerService(
            Function<String, Optional<LocalBackend>> backends,
            Consumer<LocalBackend> onLeaving,
            Clock clock,
            String host,
            HeaderConventions conventions,
            RequestLog log,
            SlotAdmission slots,
            Transport transport) {
        timer = transport.timer();
        readAhead = transport.readAhead();
        this.slots = slots;
        this.log = log;
        this.backends = backends;
        this.onLeaving = onLeaving;
        this.clock = clock;
        this.host = host;
        this.conventions = conventions;
    }

    /**
     * Returns the admission of requests.
     *
     * @return what decides whether requests start
     */
    public RequestAdmission admission() {
        return slots.requests();
    }

    /**
     * Returns the number of calls of other daemons that wait or run.
     *
     * @return the number of calls
     */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        DisconnectDetection.install(context);
        if (RequestCheck.hasBody(request)) {
            // The daemon that forwards the body limits its length.
            RequestBodyDrain.install(request, Long.MAX_VALUE);
        }
        BackendCall call = CallHeaders.read(request, clock);
        inFlight.incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        Runnable end = () -> {
            if (ended.compareAndSet(false, true)) {
                inFlight.decrementAndGet();
            }
        };
        return run(call)
                .onErrorReturn(RefusalException.class, e -> refuse(context, factory, call, e))
                .beforeOnError(e -> end.run())
                .beforeCancel(end::run)
                .map(r -> r.transformMessageBody(body -> body.beforeFinally(end::run)));
    }

    private StreamingHttpResponse refuse(
            HttpServiceContext context, StreamingHttpResponseFactory factory, BackendCall call, RefusalException e) {
        StreamingHttpResponse r =
                ProblemResponses.create(factory, context.executionContext().bufferAllocator(), e, host, conventions);
        CharSequence requestId = idOf(call);
        if (conventions.canIdentifyResponses(requestId)) {
            // The ingress daemon checks this, as the connection may carry an answer to another request.
            r.headers().set(conventions.requestIdHeader(), requestId);
        }
        if (e.retryAfterMillis() > 0) {
            r.headers().set(HeaderNames.WAIT, Long.toString(e.retryAfterMillis()));
        }
        if (e.code() == ErrorCode.QUEUE_FULL) {
            r.headers().set(HeaderNames.QUEUE_FULL, "1");
        }
        backends.apply(call.backend())
                .filter(b -> b.announcement().service().equals(call.service()))
                .ifPresent(b -> writeState(b, call, r.headers()));
        if (e.code() == ErrorCode.NO_ROOM_FOR_CALLS) {
            r.headers().set(HeaderNames.REFUSED_BEFORE_START, "1");
        }
        if (e.code() == ErrorCode.BACKEND_RATE_LIMITED) {
            r.headers().set(HeaderNames.RATE_LIMITED, "1");
            backends.apply(call.backend()).ifPresent(b -> setRateLimit(b, r.headers()));
        }
        return r;
    }

    private void writeState(LocalBackend backend, BackendCall call, HttpHeaders h) {
        slots.requests().writeRoom(backend.roomMeter(), h);
        CallHeaders.writeWork(backend, call.kind(), h);
    }

    /**
     * Runs a call on a backend server of this host.
     *
     * @param call the call
     * @return the response of the backend server, or a {@link RefusalException}
     */
    public Single<StreamingHttpResponse> run(BackendCall call) {
        LocalBackend backend = backends.apply(call.backend()).orElse(null);
        if (backend == null || !backend.announcement().service().equals(call.service())) {
            return failed(
                    RefusalException.notSent(ErrorCode.NO_BACKEND, "the backend server is no longer on this host", 0));
        }
        if (backend.health().state() == BackendState.DRAINING) {
            return failed(draining());
        }
        backend.adoptRateLimit(call.knownRateLimit());
        backend.work().estimates().adopt(call.kind(), call.usualCostMillis());
        if (!backend.rateLimit().waitTime(clock.nanoTime()).isZero()) {
            return failed(rateLimited(backend));
        }
        return slots.acquire(backend, call).flatMap(permit -> sendIfAllowed(backend, call, permit));
    }

    private Single<StreamingHttpResponse> sendIfAllowed(
            LocalBackend backend, BackendCall call, FairQueue.Permit permit) {
        if (backend.isLeaving()) {
            permit.release();
            return failed(draining());
        }
        long now = clock.nanoTime();
        if (!backend.rateLimit().tryTake(now)) {
            permit.release();
            return failed(rateLimited(backend));
        }
        return sendIfSound(backend, call, permit, now);
    }

    private Single<StreamingHttpResponse> sendIfSound(
            LocalBackend backend, BackendCall call, FairQueue.Permit permit, long now) {
        if (call.trial() && backend.health().state() == BackendState.EJECTED) {
            if (!backend.ejectionTrials().tryStart(now)) {
                permit.release();
                backend.rateLimit().putBack();
                return failed(RefusalException.notSent(ErrorCode.BACKEND_SUSPECT, "no trial call is due", 0));
            }
            return send(backend, call, permit);
        }
        if (!backend.circuitBreaker().tryStartCall(call.idempotent(), call.lastResort(), now)) {
            permit.release();
            backend.rateLimit().putBack();
            double faultProbability = backend.circuitBreaker().faultProbability(now);
            log.write(
                    "held back",
                    idOf(call),
                    "server",
                    call.backend(),
                    "suspicion",
                    faultProbability,
                    "idempotent",
                    call.idempotent());
            long retryAfterMillis = Math.max(
                    MIN_RETRY_AFTER_MILLIS,
                    backend.circuitBreaker().retryDelay(now).toMillis());
            return failed(RefusalException.rejectedByCircuitBreaker(faultProbability, retryAfterMillis));
        }
        return send(backend, call, permit);
    }

    private static RefusalException draining() {
        return RefusalException.notSent(ErrorCode.NO_BACKEND, "the backend server is draining", 0);
    }

    private static void setRateLimit(LocalBackend backend, HttpHeaders h) {
        backend.rateLimit().rate().ifPresent(x -> h.set(HeaderNames.RATE_LIMIT, Double.toString(x)));
    }

    private RefusalException rateLimited(LocalBackend backend) {
        long waitMillis = backend.rateLimit().waitTime(clock.nanoTime()).toMillis() + 1;
        return RefusalException.notSent(
                ErrorCode.BACKEND_RATE_LIMITED, ErrorCode.BACKEND_RATE_LIMITED.title(), waitMillis);
    }

    private Single<StreamingHttpResponse> send(LocalBackend backend, BackendCall call, FairQueue.Permit permit) {
        LocalBackend.InFlightCall c = backend.begin(permit, call);
        long left = call.deadline() - clock.nanoTime();
        if (left <= NANOS_PER_MILLI) {
            c.end(Outcome.CANCELLED);
            return failed(RefusalException.notSent(
                    ErrorCode.DEADLINE_NOT_RUN, "the deadline passed while the call waited for a slot", 0));
        }
        setBackendHeaders(backend, call, left);
        CharSequence requestId = conventions.requestIdHeader().isEmpty()
                ? null
                : call.request().headers().get(conventions.requestIdHeader());
        Single<StreamingHttpResponse> response = reserveConnection(backend, call, requestId)
                .onErrorMap(e -> endAfterConnectError(c, e))
                .flatMap(connection -> exchange(backend, call, c, connection, requestId))
                .beforeCancel(c::cancel);
        return slots.requests().follow(call, response);
    }

    private Single<ReservedStreamingHttpConnection> reserveConnection(
            LocalBackend backend, BackendCall call, CharSequence requestId) {
        return backend.client().reserveConnection(call.request()).flatMap(connection -> {
            if (!conventions.backendsEchoRequestId() || CarriedRequests.tryAdd(connection, requestId)) {
                return succeeded(connection);
            }
            return connection
                    .closeAsync()
                    .onErrorComplete()
                    .concat(defer(() -> reserveConnection(backend, call, requestId)));
        });
    }

    // The connection is reserved until the response is complete. It is reused only after a complete response to
    // this request.
    private Single<StreamingHttpResponse> exchange(
            LocalBackend backend,
            BackendCall call,
            LocalBackend.InFlightCall c,
            ReservedStreamingHttpConnection connection,
            CharSequence requestId) {
        ConnectionUse use = new ConnectionUse(connection);
        // A body that the caller does not finish is no failure of the backend server.
        StreamingHttpRequest request = call.request().transformMessageBody(b -> b.beforeOnComplete(use::requestSent)
                .beforeOnError(e -> c.end(Outcome.CANCELLED)));
        return connection
                .request(request)
                .timeout(Duration.ofNanos(Math.max(1, call.deadline() - clock.nanoTime())), timer)
                .beforeCancel(use::close)
                .onErrorMap(e -> {
                    use.close();
                    Throwable out = endAfterExchangeError(c, e);
                    log.write(
                            "failed",
                            requestId,
                            "server",
                            call.backend(),
                            "ms",
                            c.elapsedMillis(),
                            "error",
                            out.getMessage());
                    return out;
                })
                .flatMap(r -> {
                    boolean own = conventions.isResponseTo(requestId, r);
                    if (own && !mayContainOthers(connection, call, r)) {
                        return succeeded(handleResponse(backend, c, r, call, requestId, use));
                    }
                    use.close();
                    c.end(Outcome.FAILURE);
                    log.write(
                            own ? "answer without an end on a used connection" : "answer to another request",
                            requestId,
                            "server",
                            call.backend(),
                            "status",
                            r.status().code(),
                            "answer to",
                            String.valueOf(conventions.requestIdOf(r.headers())),
                            "ms",
                            c.elapsedMillis());
                    return failed(RefusalException.mayHaveRun(
                            ErrorCode.BACKEND_FAILED,
                            "the response of the backend server is, at least in part, not the one to the request",
                            null));
                });
    }

    // A backend server may send the answer to an earlier request once more. If the response ends with its connection,
    // such
    // an answer after it looks like a part of its body.
    private boolean mayContainOthers(
            ReservedStreamingHttpConnection connection, BackendCall call, StreamingHttpResponse response) {
        return UndelimitedResponses.isUndelimited(response)
                && !HttpRequestMethod.HEAD.equals(call.request().method())
                && conventions.backendsEchoRequestId()
                && CarriedRequests.carriesSeveral(connection);
    }

    private void setBackendHeaders(LocalBackend backend, BackendCall call, long leftNanos) {
        HttpHeaders h = call.request().headers();
        HeaderNames.removeInternal(h);
        set(h, conventions.deadlineHeader(), Long.toString(leftNanos / NANOS_PER_MILLI));
        set(h, conventions.teamHeader(), call.team());
        set(h, conventions.callerHeader(), call.caller());
        set(h, conventions.instanceHeader(), backend.announcement().id());
    }

    private static void set(HttpHeaders h, String name, String value) {
        if (!name.isEmpty() && !value.isEmpty()) {
            h.set(name, value);
        }
    }

    private CharSequence idOf(BackendCall call) {
        return conventions.requestIdOf(call.request().headers());
    }

    private static Throwable endAfterConnectError(LocalBackend.InFlightCall c, Throwable e) {
        c.end(Outcome.FAILURE);
        return RefusalException.notSent(
                ErrorCode.NO_BACKEND, "the connection to the backend server failed: " + e.getMessage(), 0);
    }

    private static Throwable endAfterExchangeError(LocalBackend.InFlightCall c, Throwable e) {
        c.end(Outcome.FAILURE);
        if (e instanceof RefusalException) {
            return e;
        }
        if (e instanceof RetryableException || e instanceof ConnectException) {
            return RefusalException.notSent(
                    ErrorCode.NO_BACKEND, "the connection to the backend server closed before the call was sent", 0);
        }
        if (e instanceof TimeoutException) {
            return RefusalException.mayHaveRun(
                    ErrorCode.DEADLINE, "the backend server sent no response before the deadline", e);
        }
        return RefusalException.mayHaveRun(
                ErrorCode.BACKEND_FAILED, "the connection to the backend server failed during the call", e);
    }

    private StreamingHttpResponse handleResponse(
            LocalBackend backend,
            LocalBackend.InFlightCall c,
            StreamingHttpResponse r,
            BackendCall call,
            CharSequence requestId,
            ConnectionUse use) {
        HttpHeaders h = r.headers();
        boolean notRun = conventions.notRun().test(r);
        int status = r.status().code();
        boolean unproven = conventions.isUnprovenRefusal(status, notRun);
        boolean shed = notRun || (!unproven && status == SERVICE_UNAVAILABLE && h.contains(HeaderNames.RETRY_AFTER));
        boolean failed = unproven || status >= SERVER_ERROR;
        Outcome outcome = shed ? Outcome.SHED : failed ? Outcome.FAILURE : Outcome.SUCCESS;
        if (String.valueOf(h.get("connection")).equalsIgnoreCase("close")) {
            use.preventReuse();
        }
        if (notRun && !conventions.canIdentifyResponses(requestId)) {
            // If the backend server sends this refusal once more, it must not count as the response to a later request.
            use.preventReuse();
        }
        recordStatements(backend, r, notRun || unproven);
        HeaderNames.removeHopByHop(h);
        HeaderNames.removeInternal(h);
        c.recordResponseHead(outcome == Outcome.SUCCESS && status < CLIENT_ERROR);
        backend.health().summary().ifPresent(x -> h.set(HeaderNames.SUMMARY, x.toText()));
        setRateLimit(backend, h);
        if (backend.isLeaving()) {
            h.set(HeaderNames.LEAVING, "1");
        }
        h.set(HeaderNames.LOAD, Integer.toString(backend.queue().load()));
        writeState(backend, call, h);
        if (outcome == Outcome.SUCCESS) {
            log.countSuccess();
        } else {
            log.write("answered", idOf(call), "server", call.backend(), "status", status, "ms", c.elapsedMillis());
        }
        if (notRun) {
            h.set(HeaderNames.RUN_STATE, HeaderNames.NOT_RUN);
        }
        Duration left = Duration.ofNanos(Math.max(1, call.deadline() - clock.nanoTime()));
        StreamingHttpResponse watched = r.transformMessageBody(body -> body.timeoutTerminal(left)
                .beforeOnComplete(() -> {
                    use.responseReceived();
                    c.end(outcome);
                })
                .beforeOnError(e -> {
                    use.close();
                    c.end(Outcome.FAILURE);
                })
                .beforeCancel(() -> {
                    use.close();
                    c.cancel();
                }));
        return readAhead.apply(watched, () -> clock.nanoTime() - call.deadline() >= 0);
    }

    // A response that turns a call away names a limit, but the lack of one there does not withdraw it.
    private void recordStatements(LocalBackend backend, StreamingHttpResponse r, boolean turnedAway) {
        if (r.status().code() == MISDIRECTED_REQUEST) {
            // Another backend server responds at the address.
            return;
        }
        OptionalDouble limit = conventions.rateLimitOf(r.headers());
        if (limit.isPresent() || !turnedAway) {
            backend.recordRateLimit(limit);
        }
        if (conventions.isLeaving(r.headers())) {
            onLeaving.accept(backend);
        }
    }
}
