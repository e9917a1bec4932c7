package io.fuchsiastand.daemon;

import java.net.ConnectException;
import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.health.ServerSummary;
import io.fuchsiastand.health.ServiceBaseline;
import io.fuchsiastand.membership.Member;
import io.fuchsiastand.routing.Candidate;
import io.servicetalk.buffer.netty.BufferAllocators;
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
 * Sends a request to the daemon of a backend server, and to another one if it did not run there, or if it is idempotent
 * and failed. A request that is not idempotent and may have run is never sent again. Retries stay within a budget.
 */
public final class Dispatcher {

    private static final int MOST_ATTEMPTS = 3;
    private static final int SERVER_ERROR = 500;
    private static final int NOT_IMPLEMENTED = 501;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final String VIA = "1.1 fuchsiastand";

    private final Blackboard board;
    private final Peers peers;
    private final OwnerService owner;
    private final Metrics metrics;
    private final RetryBudget budget = new RetryBudget();
    private final Map<String, ServiceBaseline> baselines = new ConcurrentHashMap<>();
    private final StreamingHttpRequestFactory requests = new DefaultStreamingHttpRequestResponseFactory(
            BufferAllocators.DEFAULT_ALLOCATOR, DefaultHttpHeadersFactory.INSTANCE, HttpProtocolVersion.HTTP_1_1);

    /** One request with what its attempts have found so far. */
    private final class Attempts {
        private final Exchange exchange;
        private final boolean hasBody;
        private final AtomicBoolean bodyTouched = new AtomicBoolean();
        private final Set<Candidate> tried = new HashSet<>();
        private final long began = board.clock().nanoTime();
        private int number;

        private Attempts(Exchange exchange) {
            this.exchange = exchange;
            hasBody = RequestCheck.hasBody(exchange.request());
        }

        private boolean mayRepeat(boolean notRun) {
            boolean replayable = !hasBody || !bodyTouched.get();
            return replayable && (notRun || exchange.isIdempotent()) && number < MOST_ATTEMPTS && budget.spend();
        }
    }

    /**
     * Creates the dispatcher.
     *
     * @param board the blackboard
     * @param peers connections to other daemons
     * @param owner runs calls on the backend servers of this host
     * @param metrics meters
     */
    public Dispatcher(Blackboard board, Peers peers, OwnerService owner, Metrics metrics) {
        this.board = board;
        this.peers = peers;
        this.owner = owner;
        this.metrics = metrics;
    }

    /**
     * Runs an exchange.
     *
     * @param exchange the request with its route and its team
     * @return the answer, or a {@link RefusalException}
     */
    public Single<StreamingHttpResponse> dispatch(Exchange exchange) {
        budget.earn();
        HttpHeaders h = exchange.request().headers();
        HeaderNames.removeHopByHop(h);
        HeaderNames.removeOwn(h);
        h.remove(HeaderNames.AUTHORIZATION);
        h.add("via", VIA);
        Attempts a = new Attempts(exchange);
        if (a.hasBody) {
            exchange.request().transformMessageBody(body -> body.beforeOnSubscribe(s -> a.bodyTouched.set(true)));
        }
        return attempt(a);
    }

    private Single<StreamingHttpResponse> attempt(Attempts a) {
        a.number++;
        String service = a.exchange.match().service().name();
        if (a.exchange.deadline() - board.clock().nanoTime() <= 0) {
            return failed(RefusalException.notRun(ErrorCode.DEADLINE_NOT_RUN, ErrorCode.DEADLINE_NOT_RUN.title()));
        }
        Optional<Candidate> picked = board.directory().pick(service, a.tried, ThreadLocalRandom.current());
        if (picked.isEmpty()) {
            return failed(RefusalException.notRun(ErrorCode.NO_BACKEND, ErrorCode.NO_BACKEND.title(), 1000));
        }
        Candidate c = picked.get();
        a.tried.add(c);
        c.begin();
        Call call = new Call(c);
        return defer(() -> send(a, c, service))
                .beforeCancel(call::abandon)
                .onErrorResume(e -> onError(a, call, e))
                .flatMap(r -> onAnswer(a, call, service, r));
    }

    /** The use of a candidate by one attempt, which ends once. */
    private final class Call {
        private final Candidate candidate;
        private final long sent = board.clock().nanoTime();
        private final AtomicBoolean ended = new AtomicBoolean();

        private Call(Candidate candidate) {
            this.candidate = candidate;
        }

        private void abandon() {
            if (ended.compareAndSet(false, true)) {
                candidate.abandon();
            }
        }

        private void failPath() {
            if (ended.compareAndSet(false, true)) {
                candidate.failPath(board.clock());
            }
        }

        private void end(int load) {
            if (ended.compareAndSet(false, true)) {
                candidate.end(Duration.ofNanos(board.clock().nanoTime() - sent), load);
            }
        }
    }

    private Single<StreamingHttpResponse> send(Attempts a, Candidate c, String service) {
        StreamingHttpRequest request = a.hasBody ? a.exchange.request() : copy(a.exchange.request());
        Baseline baseline = baseline(service).latest();
        long left = a.exchange.deadline() - board.clock().nanoTime();
        if (c.host().equals(board.settings().host())) {
            return owner.run(new OwnedCall(
                    c.server().id(), service, a.exchange.team(), a.exchange.deadline(), baseline, request));
        }
        Member m = board.members().find(c.host()).orElse(null);
        if (m == null) {
            return failed(RefusalException.notRun(ErrorCode.NO_BACKEND, "the host of the backend server is gone"));
        }
        HttpHeaders h = request.headers();
        h.set(HeaderNames.BACKEND, c.server().id());
        h.set(HeaderNames.SERVICE, service);
        h.set(HeaderNames.DEADLINE, Long.toString(Math.max(1, left / NANOS_PER_MILLI)));
        h.set(HeaderNames.BASELINE_FAILURES, Double.toString(baseline.failureShare()));
        h.set(HeaderNames.BASELINE_SLOW, Double.toString(baseline.slowMillis()));
        if (!a.exchange.team().isEmpty()) {
            h.set(HeaderNames.TEAM, a.exchange.team());
        }
        return peers.data(m).request(request).timeout(Duration.ofNanos(Math.max(1, left)));
    }

    private Single<StreamingHttpResponse> onError(Attempts a, Call call, Throwable e) {
        if (e instanceof RefusalException r) {
            call.end(-1);
            return a.mayRepeat(r.isNotRun()) ? retry(a) : failed(r);
        }
        boolean timeout = e instanceof TimeoutException;
        boolean notRun = e instanceof RetryableException || e instanceof ConnectException;
        call.failPath();
        if (!timeout && a.mayRepeat(notRun)) {
            return retry(a);
        }
        if (notRun) {
            return failed(RefusalException.notRun(
                    ErrorCode.NO_BACKEND, "the host of the backend server cannot be reached", 1000));
        }
        return failed(RefusalException.unknown(
                timeout ? ErrorCode.DEADLINE : ErrorCode.PEER_FAILED,
                timeout ? ErrorCode.DEADLINE.title() : ErrorCode.PEER_FAILED.title(),
                e));
    }

    private Single<StreamingHttpResponse> onAnswer(Attempts a, Call call, String service, StreamingHttpResponse r) {
        HttpHeaders h = r.headers();
        int status = r.status().code();
        boolean notRun = isNotRun(h);
        String server = call.candidate.host() + '/' + call.candidate.server().id();
        ServerSummary.parse(h.get(HeaderNames.SUMMARY))
                .ifPresent(x -> baseline(service).observe(server, x));
        call.end((int) HeaderNames.decimal(h.get(HeaderNames.LOAD), -1));
        boolean failed = status >= SERVER_ERROR && status != NOT_IMPLEMENTED;
        if (failed && a.mayRepeat(notRun)) {
            return r.messageBody().ignoreElements().onErrorComplete().concat(defer(() -> retry(a)));
        }
        CharSequence runState = h.get(HeaderNames.RUN_STATE);
        HeaderNames.removeOwn(h);
        if (runState != null) {
            h.set(HeaderNames.RUN_STATE, runState);
        }
        metrics.call(a.exchange.team(), service, board.clock().nanoTime() - a.began);
        return succeeded(r);
    }

    private Single<StreamingHttpResponse> retry(Attempts a) {
        metrics.retry();
        return attempt(a);
    }

    private StreamingHttpRequest copy(StreamingHttpRequest from) {
        StreamingHttpRequest to = requests.newRequest(from.method(), from.requestTarget());
        to.headers().set(from.headers());
        return to;
    }

    private ServiceBaseline baseline(String service) {
        return baselines.computeIfAbsent(service, k -> new ServiceBaseline(board.clock()));
    }

    /**
     * Tells whether an answer says that the call did not run.
     *
     * @param h the headers of the answer
     * @return true if it says so
     */
    static boolean isNotRun(HttpHeaders h) {
        CharSequence v = h.get(HeaderNames.RUN_STATE);
        return v != null && HeaderNames.NOT_RUN.contentEquals(v);
    }
}
