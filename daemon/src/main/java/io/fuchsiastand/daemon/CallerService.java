package io.fuchsiastand.daemon;

import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import io.fuchsiastand.config.Allowance;
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
 * Takes requests of callers: finds the route and the team, has the rate decided, and hands the request on. Each request
 * is checked, not each connection, so that a withdrawn key stops at once.
 */
public final class CallerService implements StreamingHttpService {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long MOST_DEADLINE_MILLIS = Duration.ofMinutes(10).toMillis();

    private final Blackboard board;
    private final LimitClient limits;
    private final Function<Exchange, Single<StreamingHttpResponse>> dispatcher;
    private final Metrics metrics;
    private final AtomicInteger inFlight = new AtomicInteger();

    /**
     * Creates the service.
     *
     * @param board the blackboard
     * @param limits decides about rates
     * @param dispatcher runs an exchange whose team and route are known
     * @param metrics meters
     */
    public CallerService(
            Blackboard board,
            LimitClient limits,
            Function<Exchange, Single<StreamingHttpResponse>> dispatcher,
            Metrics metrics) {
        this.board = board;
        this.limits = limits;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    /**
     * Returns the requests in flight.
     *
     * @return the number
     */
    public int inFlight() {
        return inFlight.get();
    }

    @Override
    public Single<StreamingHttpResponse> handle(
            HttpServiceContext context, StreamingHttpRequest request, StreamingHttpResponseFactory factory) {
        long began = board.clock().nanoTime();
        inFlight.incrementAndGet();
        AtomicBoolean ended = new AtomicBoolean();
        Runnable end = () -> {
            if (ended.compareAndSet(false, true)) {
                inFlight.decrementAndGet();
            }
        };
        String[] team = {""};
        return Single.defer(() -> start(request, team))
                .map(r -> {
                    HeaderNames.removeHopByHop(r.headers());
                    return r;
                })
                .onErrorReturn(e -> refuse(context, factory, e, team[0]))
                .beforeOnSuccess(r -> log(request, r, began, team[0]))
                .beforeOnError(e -> end.run())
                .beforeCancel(end::run)
                .map(r -> r.transformMessageBody(body -> body.beforeFinally(end::run)));
    }

    private Single<StreamingHttpResponse> start(StreamingHttpRequest request, String[] team) {
        Lifecycle life = board.lifecycle().get();
        if (life != Lifecycle.READY) {
            ErrorCode code = life == Lifecycle.DRAINING ? ErrorCode.DRAINING : ErrorCode.NOT_READY;
            return failed(RefusalException.notRun(code, code.title(), 1000));
        }
        if (inFlight.get() > board.settings().mostInFlight()) {
            return failed(RefusalException.notRun(ErrorCode.OVERLOADED, ErrorCode.OVERLOADED.title(), 1000));
        }
        RequestCheck.check(request);
        ActiveConfiguration active = board.configuration().get();
        RouteMatch match = active.routes()
                .find(hostOf(request), RequestPath.parse(request.rawPath()))
                .orElseThrow(() -> RefusalException.notRun(ErrorCode.NO_ROUTE, ErrorCode.NO_ROUTE.title()));
        Exchange exchange = exchange(request, match);
        if (match.route().open()) {
            return dispatcher.apply(exchange);
        }
        team[0] = authenticate(request);
        String service = match.service().name();
        Allowance allowance = active.configuration()
                .allowance(team[0], service)
                .orElseThrow(() -> RefusalException.notRun(ErrorCode.NOT_IN_PLAN, ErrorCode.NOT_IN_PLAN.title()));
        return limits.acquire(team[0], service, exchange.deadline()).flatMap(g -> {
            if (g.isGranted()) {
                return dispatcher.apply(exchange.withTeam(team[0]));
            }
            return failed(
                    g.result() == AcquireResult.OVER_RATE
                            ? RateRefusal.of(service, allowance, g)
                            : RefusalException.notRun(
                                    ErrorCode.LIMIT_UNAVAILABLE, ErrorCode.LIMIT_UNAVAILABLE.title(), 1000));
        });
    }

    private Exchange exchange(StreamingHttpRequest request, RouteMatch match) {
        HttpHeaders h = request.headers();
        long most = match.service().timeout().toMillis();
        CharSequence asked = h.get(HeaderNames.DEADLINE);
        long millis = most;
        if (asked != null) {
            try {
                millis = Math.min(MOST_DEADLINE_MILLIS, Long.parseLong(asked.toString()));
            } catch (NumberFormatException e) {
                throw RefusalException.notRun(ErrorCode.BAD_REQUEST, "the deadline is not a number of milliseconds");
            }
        }
        return new Exchange(request, match, "", board.clock().nanoTime() + millis * NANOS_PER_MILLI);
    }

    private String authenticate(StreamingHttpRequest request) {
        checkFreshness();
        return TeamKey.digestOf(request.headers().get(HeaderNames.AUTHORIZATION))
                .flatMap(d -> board.keys().team(d))
                .orElseThrow(() -> RefusalException.notRun(ErrorCode.UNKNOWN_KEY, ErrorCode.UNKNOWN_KEY.title()));
    }

    // A daemon that hears neither the platform nor a peer would not hear of a withdrawal.
    private void checkFreshness() {
        Freshness f = board.freshness().get();
        long last = Math.max(f.platform(), f.peer());
        boolean alone = board.members().all().size() == 1;
        if (!alone
                && board.clock().nanoTime() - last
                        > board.settings().keysStale().toNanos()) {
            throw RefusalException.notRun(ErrorCode.KEYS_STALE, ErrorCode.KEYS_STALE.title(), 1000);
        }
    }

    private StreamingHttpResponse refuse(
            HttpServiceContext context, StreamingHttpResponseFactory factory, Throwable e, String team) {
        RefusalException refusal = toRefusal(e);
        metrics.refusal(team, refusal.code().code());
        StreamingHttpResponse r = Problems.answer(
                factory,
                context.executionContext().bufferAllocator(),
                refusal,
                board.settings().host());
        if (refusal.code() == ErrorCode.UNKNOWN_KEY) {
            r.headers().set("www-authenticate", "Bearer");
        }
        if (e instanceof RefusalException x && x.rate() != null) {
            x.rate().addTo(r.headers());
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
        Logger.error(e, "a request failed in the daemon");
        return RefusalException.unknown(ErrorCode.PEER_FAILED, "the daemon failed", e);
    }

    private void log(StreamingHttpRequest request, StreamingHttpResponse r, long began, String team) {
        if (board.settings().accessLog()) {
            long micros = (board.clock().nanoTime() - began) / 1000;
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
