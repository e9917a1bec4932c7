package io.fuchsiastand.daemon.edge;

import java.time.Duration;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.daemon.board.ActiveConfiguration;
import io.fuchsiastand.daemon.board.Blackboard;
import io.fuchsiastand.daemon.board.LastContact;
import io.fuchsiastand.daemon.board.Lifecycle;
import io.fuchsiastand.daemon.http.ConnectionGuard;
import io.fuchsiastand.daemon.http.DisconnectDetection;
import io.fuchsiastand.daemon.http.HeaderConventions;
import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.daemon.http.ProblemResponses;
import io.fuchsiastand.daemon.http.RateLimitHeaders;
import io.fuchsiastand.daemon.http.RefusalException;
import io.fuchsiastand.daemon.http.RequestBodyDrain;
import io.fuchsiastand.daemon.http.RequestCheck;
import io.fuchsiastand.daemon.limit.RateLimiter;
import io.fuchsiastand.daemon.metrics.Metrics;
import io.fuchsiastand.daemon.metrics.RequestLog;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;
import io.fuchsiastand.key.TeamKey;
import io.fuchsiastand.protocol.AcquireResult;
import io.fuchsiastand.routing.RequestPath;
import io.fuchsiastand.routing.RouteMatch;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import org.tinylog.Logger;

import static io.servicetalk.concurrent.api.Single.failed;

/**
 * Accepts the requests of callers: finds the route, authenticates the team, enforces the rate limits and passes the
 * request to the dispatcher. The key is checked for each request, not for each connection, so that a withdrawn key is
 * refused at once.
 */
public final class CallerService implements StreamingHttpService {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_REQUEST_ID_LENGTH = 128;
    private static final long RETRY_AFTER_MILLIS = 500;
    // Error codes of refusals after which the daemon closes the connection of the caller.
    private static final Set<ErrorCode> CONNECTION_CLOSING_CODES =
            EnumSet.of(ErrorCode.BAD_REQUEST, ErrorCode.BAD_PATH, ErrorCode.BODY_TOO_LARGE, ErrorCode.FIELDS_TOO_LARGE);
    private static final long MAX_DEADLINE_MILLIS = Duration.ofMinutes(10).toMillis();

    private static final long OVERLOADED_RETRY_AFTER_MILLIS = 1000;
    // Requests on open routes may exceed the limit of requests in flight by this part. They may come from
    // backend servers that run other requests, which would fail if these were refused.
    private static final int OPEN_REQUESTS_DIVISOR = 4;

    // A call waits for a token at most this part of the time until its deadline.
    private static final int MAX_TOKEN_WAIT_DIVISOR = 4;

    private final Blackboard board;
    private final RateLimiter rateLimiter;
    private final Function<RoutedRequest, Single<StreamingHttpResponse>> dispatcher;
    private final Metrics metrics;
    private final HeaderConventions conventions;
    private final RequestLog log;
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param board the blackboard
     * @param rateLimiter decides whether a request is within the rate limits of its team
     * @param dispatcher sends a request to a backend server, once its route and its team are known
     * @param metrics the metrics of this daemon
     * @param conventions the names of the headers that callers use
     * @param log the log of decisions about requests
     */
    public CallerService(
            Blackboard board,
            RateLimiter rateLimiter,
            Function<RoutedRequest, Single<StreamingHttpResponse>> dispatcher,
            Metrics metrics,
            HeaderConventions conventions,
            RequestLog log) {
        this.log = log;
        this.conventions = conventions;
        this.board = board;
        this.rateLimiter = rateLimiter;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
     */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        DisconnectDetection.install(context);
        long startNanos = board.clock().nanoTime();
        inFlight.incrementAndGet();
        ensureRequestId(request);
        boolean hasBody = RequestCheck.hasBody(request);
        ConnectionGuard.beginRequest(context, hasBody);
        AtomicBoolean bodyRead = new AtomicBoolean(!hasBody);
        if (hasBody) {
            request.transformMessageBody(b -> b.beforeFinally(() -> {
                bodyRead.set(true);
                ConnectionGuard.endRequestBody(context);
            }));
            RequestBodyDrain.installWithLimit(
                    request,
                    board.configuration().get().configuration().limits().bodyBytes());
        }
        AtomicBoolean ended = new AtomicBoolean();
        Runnable end = () -> {
            if (ended.compareAndSet(false, true)) {
                inFlight.decrementAndGet();
                ConnectionGuard.endResponse(context);
            }
        };
        // Set by checkAndDispatch once the team is authenticated, for the log line and the refusal.
        String[] team = {""};
        return Single.defer(() -> checkAndDispatch(request, team))
                .map(r -> {
                    HeaderNames.removeHopByHop(r.headers());
                    return r;
                })
                .onErrorReturn(e -> refuse(context, request, factory, e, team[0]))
                .beforeOnSuccess(r -> {
                    // A caller that still sends the body could lose the response if the connection were closed.
                    if (board.lifecycle().get() == Lifecycle.LEAVING && bodyRead.get()) {
                        r.headers().set("connection", "close");
                    }
                    copyRequestId(request, r);
                    log(request, r, startNanos, team[0]);
                })
                .beforeOnError(e -> end.run())
                .beforeCancel(end::run)
                .map(r -> r.transformMessageBody(body -> body.beforeFinally(end::run)));
    }

    // The request ID identifies the request in the logs of all hosts. The caller receives it with the response.
    private void ensureRequestId(StreamingHttpRequest request) {
        if (conventions.backendsEchoRequestId() || conventions.requestIdHeader().isEmpty()) {
            return;
        }
        CharSequence given = conventions.requestIdOf(request.headers());
        if (given == null || given.length() == 0 || given.length() > MAX_REQUEST_ID_LENGTH) {
            String generated = Long.toHexString(ThreadLocalRandom.current().nextLong());
            request.headers().set(conventions.requestIdHeader(), generated);
        }
    }

    private void copyRequestId(StreamingHttpRequest request, StreamingHttpResponse r) {
        CharSequence id = conventions.requestIdOf(request.headers());
        if (!conventions.backendsEchoRequestId() && id != null) {
            r.headers().set(conventions.requestIdHeader(), id);
        }
    }

    private Single<StreamingHttpResponse> checkAndDispatch(StreamingHttpRequest request, String[] team) {
        // A draining daemon still serves its callers, until they use another daemon or until this one leaves.
        Lifecycle lifecycle = board.lifecycle().get();
        if (lifecycle == Lifecycle.STARTING || lifecycle == Lifecycle.LEAVING) {
            ErrorCode code = lifecycle == Lifecycle.STARTING ? ErrorCode.NOT_READY : ErrorCode.DRAINING;
            return failed(RefusalException.notRun(code, code.title(), RETRY_AFTER_MILLIS));
        }
        int limit = board.settings().maxInFlight();
        if (inFlight.get() > limit + (limit + OPEN_REQUESTS_DIVISOR - 1) / OPEN_REQUESTS_DIVISOR) {
            return failed(overloaded());
        }
        ActiveConfiguration active = board.configuration().get();
        if (active.configuration().version() == 0) {
            // A daemon that drains before it has received a configuration does not know which routes there are.
            return failed(
                    RefusalException.notRun(ErrorCode.NOT_READY, ErrorCode.NOT_READY.title(), RETRY_AFTER_MILLIS));
        }
        RequestCheck.check(request, board.settings().memory().headerFields());
        RequestCheck.checkSize(request, active.configuration().limits());
        RouteMatch match = active.routes()
                .find(hostOf(request), RequestPath.parse(request.rawPath()))
                .orElseThrow(() -> RefusalException.notRun(ErrorCode.NO_ROUTE, ErrorCode.NO_ROUTE.title()));
        RoutedRequest routed = createRoutedRequest(request, match);
        if (match.route().open()) {
            return dispatcher.apply(routed);
        }
        if (inFlight.get() > limit) {
            return failed(overloaded());
        }
        team[0] = authenticate(active, request);
        Configuration c = active.configuration();
        String service = match.service().name();
        List<String> allowances = c.allowanceNamesFor(team[0], service);
        if (allowances.isEmpty()) {
            return failed(RefusalException.notRun(ErrorCode.NOT_IN_PLAN, ErrorCode.NOT_IN_PLAN.title()));
        }
        RoutedRequest authenticated =
                routed.withTeam(team[0], c.teams().get(team[0]).priority());
        return acquire(c, authenticated, allowances, 0);
    }

    private static RefusalException overloaded() {
        return RefusalException.notRun(
                ErrorCode.OVERLOADED, ErrorCode.OVERLOADED.title(), OVERLOADED_RETRY_AFTER_MILLIS);
    }

    private Single<StreamingHttpResponse> acquire(Configuration c, RoutedRequest x, List<String> allowances, int next) {
        if (next == allowances.size()) {
            return dispatcher.apply(x);
        }
        String name = allowances.get(next);
        Allowance allowance = c.allowance(x.team(), name).orElseThrow();
        if (!allowance.isLimited()) {
            return acquire(c, x, allowances, next + 1);
        }
        return rateLimiter
                .acquire(x.team(), name, x.deadline(), maxTokenWait(x))
                .flatMap(g -> {
                    if (g.isGranted()) {
                        return acquire(c, x, allowances, next + 1);
                    }
                    return failed(
                            g.result() == AcquireResult.OVER_RATE
                                    ? RateLimitHeaders.createRefusal(name, allowance, g)
                                    : RefusalException.notRun(
                                            ErrorCode.LIMIT_UNAVAILABLE,
                                            ErrorCode.LIMIT_UNAVAILABLE.title(),
                                            RETRY_AFTER_MILLIS));
                });
    }

    // A call that waits for a token still has time to run within the target latency of its route.
    private Duration maxTokenWait(RoutedRequest x) {
        Duration left =
                Duration.ofNanos(Math.max(0, x.deadline() - board.clock().nanoTime()));
        Duration longest = left.dividedBy(MAX_TOKEN_WAIT_DIVISOR);
        Duration target = x.match().route().policy().target();
        if (target.isZero()) {
            return longest;
        }
        Duration half = target.dividedBy(2);
        return half.compareTo(longest) < 0 ? half : longest;
    }

    private RoutedRequest createRoutedRequest(StreamingHttpRequest request, RouteMatch match) {
        HttpHeaders h = request.headers();
        Duration routeTimeout = match.route().policy().timeout();
        long maxMillis = routeTimeout.isZero() ? MAX_DEADLINE_MILLIS : routeTimeout.toMillis();
        long millis = Math.min(maxMillis, match.service().timeout().toMillis());
        CharSequence requested = h.get(conventions.deadlineHeader());
        if (requested != null) {
            try {
                millis = Math.min(maxMillis, Long.parseLong(requested.toString()));
            } catch (NumberFormatException e) {
                throw RefusalException.notRun(
                        ErrorCode.BAD_REQUEST, "the deadline is not a whole number of milliseconds");
            }
        } else if (!routeTimeout.isZero()) {
            millis = maxMillis;
        }
        int priority = match.route().policy().priority();
        long now = board.clock().nanoTime();
        long targetMillis = match.route().policy().target().toMillis();
        return new RoutedRequest(
                request,
                match,
                "",
                priority,
                now + millis * NANOS_PER_MILLI,
                now + (targetMillis == 0 ? millis : Math.min(millis, targetMillis)) * NANOS_PER_MILLI);
    }

    private String authenticate(ActiveConfiguration active, StreamingHttpRequest request) {
        checkLastContact();
        return TeamKey.digestFromHeader(request.headers().get(HeaderNames.AUTHORIZATION))
                .flatMap(d -> active.teamOf(d).or(() -> board.keys().teamOf(d)))
                .orElseThrow(() -> RefusalException.notRun(ErrorCode.UNKNOWN_KEY, ErrorCode.UNKNOWN_KEY.title()));
    }

    // A daemon that has contact neither with the platform nor with any peer would not receive the withdrawal of a key,
    // so it refuses requests with a key. A daemon that knows no other member is exempt.
    private void checkLastContact() {
        LastContact c = board.lastContact().get();
        long last = Math.max(c.platformNanos(), c.peerNanos());
        boolean alone = board.members().all().size() == 1;
        if (!alone
                && board.clock().nanoTime() - last
                        > board.settings().keysStaleAfter().toNanos()) {
            throw RefusalException.notRun(ErrorCode.KEYS_STALE, ErrorCode.KEYS_STALE.title(), 1000);
        }
    }

    private StreamingHttpResponse refuse(
            HttpServiceContext context,
            StreamingHttpRequest request,
            StreamingHttpResponseFactory factory,
            Throwable e,
            String team) {
        RefusalException refusal = toRefusal(e);
        log.write(
                "refused",
                conventions.requestIdOf(request.headers()),
                "code",
                refusal.code().code(),
                "status",
                refusal.code().status(),
                "not run",
                refusal.isNotRun(),
                "team",
                team,
                "configuration",
                board.configuration().get().configuration().version(),
                "detail",
                refusal.getMessage());
        metrics.recordRefusal(team, refusal.code().code());
        StreamingHttpResponse r = ProblemResponses.create(
                factory,
                context.executionContext().bufferAllocator(),
                refusal,
                board.settings().host(),
                conventions);
        r.headers().remove(HeaderNames.NOT_SENT);
        if (CONNECTION_CLOSING_CODES.contains(refusal.code())) {
            // The bytes that follow on the connection may belong to the rest of this request.
            r.headers().set("connection", "close");
        }
        if (refusal.code() == ErrorCode.UNKNOWN_KEY) {
            r.headers().set("www-authenticate", "Bearer");
        }
        if (e instanceof RefusalException x && x.rateLimitHeaders() != null) {
            x.rateLimitHeaders().addTo(r.headers());
        }
        return r;
    }

    private static RefusalException toRefusal(Throwable e) {
        if (e instanceof RefusalException r) {
            return r;
        }
        if (e instanceof FuchsiastandException f && f.code().status() != 0) {
            return RefusalException.notRun(f.code(), f.getMessage());
        }
        Logger.error(e, "a request failed because of an error in the daemon");
        return RefusalException.mayHaveRun(ErrorCode.PEER_FAILED, "the daemon failed to handle the request", e);
    }

    private void log(StreamingHttpRequest request, StreamingHttpResponse r, long startNanos, String team) {
        if (board.settings().accessLog()) {
            long micros = (board.clock().nanoTime() - startNanos) / 1000;
            Logger.info(
                    "access {} {} {} team={} us={}", r.status().code(), request.method(), request.path(), team, micros);
        }
    }

    private static String hostOf(StreamingHttpRequest request) {
        CharSequence host = request.headers().get("host");
        if (host == null) {
            return "";
        }
        String h = host.toString().toLowerCase(Locale.ROOT);
        int colon = h.lastIndexOf(':');
        return colon > 0 && !h.endsWith("]") ? h.substring(0, colon) : h;
    }
}
