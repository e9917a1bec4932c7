package io.fuchsiastand.daemon.dispatch;

import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

import io.fuchsiastand.daemon.admission.RequestAdmission;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.edge.RoutedRequest;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.Peers;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.http.RequestCheck;
import io.fuchsiastand.daemon.http.ResponseReadAhead;
import io.fuchsiastand.daemon.http.Transport;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.daemon.owner.BackendCall;
import io.fuchsiastand.daemon.owner.CallHeaders;
import io.fuchsiastand.daemon.owner.OwnerService;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.health.ServerSummary;
import io.fuchsiastand.health.ServiceBaseline;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.routing.Candidate;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.Executor;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.DefaultHttpHeadersFactory;
import io.servicetalk.http.api.DefaultStreamingHttpRequestResponseFactory;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpProtocolVersion;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequestFactory;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.transport.api.RetryableException;

import static io.servicetalk.concurrent.api.Single.defer;
import static io.servicetalk.concurrent.api.Single.failed;
import static io.servicetalk.concurrent.api.Single.succeeded;

/**
 * Sends each request to the daemon of a backend server's host. If the request has not run there, or if it is idempotent
 * and failed, the dispatcher tries another backend server, unless the deadline has passed, a limit on the time or the number
 * of the attempts is reached, or the body is not buffered, because it is too long or has no Content-Length. A non-idempotent
 * request that may have run is never sent again. Retries stay within a budget.
 */
public final class Dispatcher {

    // Kept bodies may use this part of the heap.
    private static final int KEPT_BODIES_HEAP_DIVISOR = 16;
    private static final long RETRY_AFTER_MILLIS = 200;
    // Time for which the body of a failed response is read before the next attempt, so that its connection can be
    // reused.
    private static final Duration MAX_DRAIN_TIME = Duration.ofMillis(100);
    // Time after the deadline in which the daemon of the backend server's host reports that the call ran out of time.
    // If this daemon cancelled the call at the deadline, that daemon would not count a failure of the backend server.
    private static final Duration REPORT_TIME = Duration.ofMillis(100);
    private static final Buffer EMPTY_BODY = BufferAllocators.DEFAULT_ALLOCATOR.newBuffer(0);
    private static final int SERVER_ERROR = 500;
    private static final int NOT_IMPLEMENTED = 501;
    private static final String VIA = "1.1 fuchsiastand";
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Blackboard board;
    private final Peers peers;
    private final OwnerService owner;
    private final RequestAdmission admission;
    private final Metrics metrics;
    private final HeaderConventions conventions;
    private final RequestLog log;
    private final AnswerCheck answerCheck;
    private final RunStateCheck runStateCheck;
    private final Executor timer;
    private final ResponseReadAhead readAhead;
    private final BodyBudget bodyBudget;
    private final RetryBudgets budgets;
    private final WorkReports work;
    private final SpillReports spill;
    private final Map<String, ServiceBaseline> baselines = new ConcurrentHashMap<>();
    private final StreamingHttpRequestFactory requestFactory = new DefaultStreamingHttpRequestResponseFactory(
            BufferAllocators.DEFAULT_ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1);

    /**
     * Creates the dispatcher.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param owner runs calls on the backend servers of this host
     * @param metrics the metrics of this daemon
     * @param conventions the names of the headers that callers and backend servers use
     * @param log the log of decisions about requests
     * @param budgets the retry budgets by service
     * @param transport has the timer for requests to other daemons, the memory for bodies that are kept, and the read-ahead
     */
    public Dispatcher(
            Blackboard board,
            Peers peers,
            OwnerService owner,
            Metrics metrics,
            HeaderConventions conventions,
            RequestLog log,
            RetryBudgets budgets,
            Transport transport) {
        bodyBudget = new BodyBudget(Runtime.getRuntime().maxMemory() / KEPT_BODIES_HEAP_DIVISOR, transport.buffer());
        this.budgets = budgets;
        timer = transport.timer();
        readAhead = transport.readAhead();
        this.log = log;
        this.conventions = conventions;
        answerCheck = new AnswerCheck(conventions, log);
        runStateCheck = new RunStateCheck(conventions);
        this.board = board;
        work = new WorkReports(board);
        spill = new SpillReports(board.directory(), metrics);
        this.peers = peers;
        this.owner = owner;
        admission = owner.admission();
        this.metrics = metrics;
    }

    /**
     * Sends a request to a backend server and returns the response.
     *
     * @param routed the request with its route and its team
     * @return the response, or a {@link RefusalException}
     */
    public Single<StreamingHttpResponse> dispatch(RoutedRequest routed) {
        StreamingHttpRequest request = routed.request();
        HttpHeaders h = request.headers();
        HeaderNames.removeHopByHop(h);
        HeaderNames.removeInternal(h);
        h.remove(HeaderNames.AUTHORIZATION);
        conventions.reservedHeaders().forEach(h::remove);
        h.add("via", VIA);
        String service = routed.chooseService(ThreadLocalRandom.current());
        if (!RequestCheck.hasBody(request)) {
            return start(newAttempts(routed, service, EMPTY_BODY));
        }
        long length = maxBodyLength(request);
        if (!bodyBudget.tryReserve(length)) {
            return start(newAttempts(routed, service, null));
        }
        // A buffered body can be sent again, and it is known to be complete before any of it is sent.
        boolean isLengthKnown = RequestCheck.bodyLength(request) == length;
        return (isLengthKnown ? request : limitBody(request, length))
                .toRequest()
                .flatMap(r -> board.lifecycle().get() == Lifecycle.LEAVING
                        ? failed(draining())
                        : start(newAttempts(routed, service, r.payloadBody())))
                .afterFinally(() -> bodyBudget.release(length))
                .onErrorMap(
                        IOException.class,
                        e -> RefusalException.notSent(
                                ErrorCode.BAD_REQUEST, "the request body ended before its declared length", 0));
    }

    // While the daemon drains, a body without Content-Length is buffered too: it may become complete so late that the
    // request could not finish before the daemon ends.
    private long maxBodyLength(StreamingHttpRequest request) {
        long length = RequestCheck.bodyLength(request);
        return length < Long.MAX_VALUE || board.lifecycle().get() != Lifecycle.DRAINING
                ? length
                : board.configuration().get().configuration().limits().bodyBytes();
    }

    private static StreamingHttpRequest limitBody(StreamingHttpRequest request, long maxLength) {
        long[] length = {0};
        return request.transformPayloadBody(body -> body.map(b -> {
            length[0] += b.readableBytes();
            if (length[0] > maxLength) {
                throw draining();
            }
            return b;
        }));
    }

    private static RefusalException draining() {
        return RefusalException.notRun(ErrorCode.DRAINING, ErrorCode.DRAINING.title(), RETRY_AFTER_MILLIS);
    }

    private CallAttempts newAttempts(RoutedRequest routed, String service, Buffer body) {
        return new CallAttempts(routed, service, body, budgets.of(service), board.clock());
    }

    private Single<StreamingHttpResponse> start(CallAttempts a) {
        budgets.recordRequest(a.service, a.routed);
        return admission
                .followOutgoing(a.routed, a.service, nextAttempt(a))
                .afterFinally(() -> logExhaustedBudget(a))
                .onErrorMap(RefusalException.class, e -> runStateCheck.check(a, e))
                .flatMap(r -> runStateCheck
                        .check(a, r)
                        .map(e -> drain(r).concat(Single.<StreamingHttpResponse>failed(e)))
                        .orElse(succeeded(r)));
    }

    private Completable drain(StreamingHttpResponse r) {
        return r.messageBody().ignoreElements().timeout(MAX_DRAIN_TIME, timer).onErrorComplete();
    }

    private Single<StreamingHttpResponse> nextAttempt(CallAttempts a) {
        a.attempts++;
        a.usualMillis = work.usualMillis(a.kind);
        if (a.routed.deadline() - board.clock().nanoTime() <= NANOS_PER_MILLI) {
            return failed(RefusalException.notSent(ErrorCode.DEADLINE_NOT_RUN, ErrorCode.DEADLINE_NOT_RUN.title(), 0));
        }
        Optional<Candidate> forTrial =
                a.mayTry() ? board.directory().pickForTrial(a.service, ThreadLocalRandom.current()) : Optional.empty();
        a.trial = forTrial.isPresent();
        Optional<Candidate> picked = forTrial.or(() -> a.hasAskedEnough() ? Optional.empty() : work.pick(a))
                .or(a::takeLastResort);
        if (picked.isEmpty()) {
            return failed(a.finalRefusal(RETRY_AFTER_MILLIS));
        }
        spill.update(a.service);
        Candidate c = picked.get();
        a.tried.add(c);
        if (a.lastResort) {
            a.logLastResort(log, idOf(a), c);
        }
        work.begin(a, c);
        Attempt attempt = new Attempt(c, a.trial, board.clock());
        return defer(() -> send(a, c))
                .beforeCancel(attempt::endWithoutResult)
                .onErrorResume(e -> onError(a, attempt, e))
                .flatMap(r -> onResponse(a, attempt, r));
    }

    private Single<StreamingHttpResponse> send(CallAttempts a, Candidate c) {
        RoutedRequest x = a.routed;
        StreamingHttpRequest request = a.body == null ? x.request() : copy(x.request(), a.body);
        a.bodyUsed = true;
        BackendCall call = new BackendCall(
                c.server().id(),
                a.service,
                x.team(),
                board.settings().service().orElse(""),
                x.isIdempotent(),
                a.failedSends > 0,
                a.lastResort,
                a.trial,
                c.rateLimit(),
                x.priority(),
                x.deadline(),
                x.target(),
                a.kind,
                a.usualMillis,
                baseline(a.service).latest(),
                request);
        if (c.host().equals(board.settings().host())) {
            return owner.run(call);
        }
        Member m = board.members().find(c.host()).orElse(null);
        if (m == null) {
            return failed(RefusalException.notSent(
                    ErrorCode.NO_BACKEND,
                    "the host of the backend server is no longer in the fleet",
                    RETRY_AFTER_MILLIS));
        }
        CallHeaders.write(call, board.clock());
        return peers.dataClient(m)
                .request(request)
                .timeout(timeUntilDeadline(a).plus(REPORT_TIME), timer)
                .flatMap(r -> answerCheck.check(idOf(a), c.host(), r))
                .map(r -> r.transformMessageBody(
                        b -> b.timeoutTerminal(timeUntilDeadline(a).plus(REPORT_TIME), timer)))
                .map(r -> readAhead.apply(r, a::isOverdue));
    }

    private Single<StreamingHttpResponse> onError(CallAttempts a, Attempt attempt, Throwable e) {
        if (e instanceof RefusalException r
                && (r.code() == ErrorCode.NO_ROOM_FOR_CALLS || r.code() == ErrorCode.BODY_TOO_LARGE)) {
            attempt.endWithoutResult();
            return failed(r);
        }
        if (e instanceof RefusalException r) {
            boolean rateLimited = r.code() == ErrorCode.BACKEND_RATE_LIMITED;
            if (rateLimited) {
                attempt.endRateLimited(r.retryAfterMillis());
            } else {
                attempt.endFailed(-1);
            }
            a.recordRefusal(r.retryAfterMillis(), rateLimited);
            if (r.code() == ErrorCode.QUEUE_FULL && r.isNotSent()) {
                recordQueueFull(a, attempt, r.retryAfterMillis());
            }
            if (!r.isNotSent()) {
                work.recordFailure(attempt.candidate());
            }
            attempt.recordTrial(!r.isNotSent());
            a.recordFaultProbability(attempt.candidate(), r.faultProbability());
            return onRefusal(a, r);
        }
        boolean timeout = e instanceof TimeoutException;
        boolean notRun = e instanceof RetryableException || e instanceof ConnectException;
        attempt.endUnreachable();
        log.write(
                "path failed",
                idOf(a),
                "host",
                attempt.candidate().host(),
                "not sent",
                notRun,
                "error",
                String.valueOf(e));
        if (notRun) {
            return onRefusal(
                    a,
                    RefusalException.notSent(
                            ErrorCode.NO_BACKEND,
                            "the host of the backend server cannot be reached",
                            RETRY_AFTER_MILLIS));
        }
        ErrorCode code = timeout ? ErrorCode.DEADLINE : ErrorCode.PEER_FAILED;
        RefusalException failure = RefusalException.mayHaveRun(code, code.title(), e);
        return timeout ? failed(failure) : retryOr(a, false, false, () -> retry(a), () -> failed(failure));
    }

    private Single<StreamingHttpResponse> onRefusal(CallAttempts a, RefusalException r) {
        if (r.isNotSent()) {
            a.lastRefusal = r;
        }
        if (r.code() == ErrorCode.DRAINING) {
            return failed(r);
        }
        return retryOr(a, r.isNotRun(), r.isNotSent(), () -> retry(a), () -> failed(a.withShortestWait(r)));
    }

    private Single<StreamingHttpResponse> onResponse(CallAttempts a, Attempt attempt, StreamingHttpResponse r) {
        HttpHeaders h = r.headers();
        int status = r.status().code();
        boolean notRun = HeaderNames.isNotRun(h);
        boolean notSent = h.contains(HeaderNames.NOT_SENT);
        String server =
                attempt.candidate().host() + '/' + attempt.candidate().server().id();
        admission.hear(a.service, server, h);
        if (h.contains(HeaderNames.REFUSED_BEFORE_START)) {
            attempt.endWithoutResult();
            a.recordRefusal(HeaderNames.parseLong(h.get(HeaderNames.WAIT), 0), false);
            return passOn(a, r, true, true);
        }
        ServerSummary.parse(h.get(HeaderNames.SUMMARY))
                .ifPresent(x -> baseline(a.service).observe(server, x));
        boolean failed = notRun
                || (status >= SERVER_ERROR && status != NOT_IMPLEMENTED)
                || conventions.isUnprovenRefusal(status, false);
        attempt.recordTrial(!notSent);
        work.read(a.kind, attempt.candidate(), h);
        if (failed && !notSent) {
            work.recordFailure(attempt.candidate());
        }
        recordEnd(a, attempt, h, failed);
        if (!h.contains(HeaderNames.REFUSED_BY) || h.contains(HeaderNames.RATE_LIMITED)) {
            attempt.candidate().recordRateLimit(HeaderNames.rateLimitOf(h));
        }
        if (h.contains(HeaderNames.LEAVING)) {
            board.directory().recordLeaving(attempt.candidate());
        }
        if (!failed) {
            return passOn(a, r, notRun, notSent);
        }
        return retryOr(
                a, notRun, notSent, () -> drain(r).concat(defer(() -> retry(a))), () -> passOn(a, r, notRun, notSent));
    }

    // Retries if that is allowed, with a retry of another daemon if the budget of this one is used up.
    private Single<StreamingHttpResponse> retryOr(
            CallAttempts a,
            boolean notRun,
            boolean notSent,
            Supplier<Single<StreamingHttpResponse>> retry,
            Supplier<Single<StreamingHttpResponse>> otherwise) {
        if (a.tryRetry(notRun, notSent)) {
            return retry.get();
        }
        if (!a.budgetExhausted) {
            return otherwise.get();
        }
        return budgets.borrow(a.service).flatMap(borrowed -> {
            a.budgetExhausted = !borrowed;
            return borrowed ? retry.get() : otherwise.get();
        });
    }

    private Single<StreamingHttpResponse> passOn(
            CallAttempts a, StreamingHttpResponse r, boolean notRun, boolean notSent) {
        HttpHeaders h = r.headers();
        logRefusalByOwner(a, r, notRun);
        if (notSent && a.retryAfterMillis(0) > 0) {
            h.set(HeaderNames.RETRY_AFTER, conventions.retryAfterFormat().apply(a.retryAfterMillis(0)));
        }
        CharSequence runState = h.get(HeaderNames.RUN_STATE);
        HeaderNames.removeInternal(h);
        if (runState != null) {
            h.set(HeaderNames.RUN_STATE, runState);
        }
        metrics.recordCall(a.routed.team(), a.service, board.clock().nanoTime() - a.startNanos);
        return succeeded(r);
    }

    private void recordEnd(CallAttempts a, Attempt attempt, HttpHeaders h, boolean failed) {
        int load = (int) HeaderNames.parseDouble(h.get(HeaderNames.LOAD), -1);
        if (!failed) {
            attempt.end(load);
            return;
        }
        a.recordFaultProbability(attempt.candidate(), HeaderNames.parseDouble(h.get(HeaderNames.FAULT_PROBABILITY), 1));
        long waitMillis = HeaderNames.parseLong(h.get(HeaderNames.WAIT), 0);
        boolean rateLimited = h.contains(HeaderNames.RATE_LIMITED);
        a.recordRefusal(waitMillis, rateLimited);
        if (h.contains(HeaderNames.QUEUE_FULL)) {
            recordQueueFull(a, attempt, waitMillis);
        }
        if (rateLimited) {
            attempt.endRateLimited(waitMillis);
        } else {
            attempt.endFailed(load);
        }
    }

    private void recordQueueFull(CallAttempts a, Attempt attempt, long waitMillis) {
        if (board.settings().scheduling().deadlineOrder()) {
            a.recordQueueFull(attempt.candidate(), waitMillis);
        }
    }

    private void logRefusalByOwner(CallAttempts a, StreamingHttpResponse r, boolean notRun) {
        CharSequence refusedBy = r.headers().get(HeaderNames.REFUSED_BY);
        if (refusedBy != null) {
            log.write(
                    "refusal passed on",
                    idOf(a),
                    "service",
                    a.service,
                    "host",
                    refusedBy,
                    "status",
                    r.status().code(),
                    "not run",
                    notRun,
                    "picks",
                    a.attempts);
        }
    }

    private void logExhaustedBudget(CallAttempts a) {
        if (a.budgetExhausted) {
            metrics.recordRetryOverBudget();
            log.write("retry over budget", idOf(a), "service", a.service, "sends", a.failedSends);
        }
    }

    private Duration timeUntilDeadline(CallAttempts a) {
        return Duration.ofNanos(Math.max(1, a.routed.deadline() - board.clock().nanoTime()));
    }

    private Single<StreamingHttpResponse> retry(CallAttempts a) {
        metrics.recordRetry();
        if (a.failedSends > 0) {
            log.write("sent again", idOf(a), "service", a.service, "picks", a.attempts, "sends", a.failedSends);
        }
        return nextAttempt(a);
    }

    private StreamingHttpRequest copy(StreamingHttpRequest from, Buffer body) {
        StreamingHttpRequest to = requestFactory.newRequest(from.method(), from.requestTarget());
        to.headers().set(from.headers());
        if (body.readableBytes() > 0) {
            to.headers().remove("transfer-encoding");
            to.headers().set("content-length", Integer.toString(body.readableBytes()));
            to.payloadBody(Publisher.from(body.duplicate()));
        }
        return to;
    }

    private CharSequence idOf(CallAttempts a) {
        return conventions.requestIdOf(a.routed.request().headers());
    }

    private ServiceBaseline baseline(String service) {
        return baselines.computeIfAbsent(service, k -> new ServiceBaseline(board.clock()));
    }
}
