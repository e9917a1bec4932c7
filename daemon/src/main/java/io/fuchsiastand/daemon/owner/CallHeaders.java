package io.fuchsiastand.daemon.owner;

import io.fuchsiastand.daemon.http.HeaderNames;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.time.Clock;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.http.api.HttpHeaders;
import io.servicetalk.http.api.StreamingHttpRequest;

/** Writes a {@link BackendCall} into the headers with which an ingress daemon forwards it, and reads it at the owner. */
public final class CallHeaders {

    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long DEFAULT_DEADLINE_MILLIS = 10_000;

    private CallHeaders() {}

    /**
     * Writes a call into the headers of its request.
     *
     * @param call the call
     * @param clock the clock
     */
    public static void write(BackendCall call, Clock clock) {
        HttpHeaders h = call.request().headers();
        long now = clock.nanoTime();
        h.set(HeaderNames.BACKEND, call.backend());
        h.set(HeaderNames.SERVICE, call.service());
        h.set(HeaderNames.DEADLINE, Long.toString(Math.max(1, (call.deadline() - now) / NANOS_PER_MILLI)));
        h.set(HeaderNames.TARGET, Long.toString(Math.max(0, (call.target() - now) / NANOS_PER_MILLI)));
        h.set(HeaderNames.KIND, call.kind().toText());
        setIf(call.usualCostMillis() > 0, h, HeaderNames.COST, HeaderNames.formatMillis(call.usualCostMillis()));
        h.set(HeaderNames.IDEMPOTENT, Boolean.toString(call.idempotent()));
        setIf(call.retry(), h, HeaderNames.REPEATED, "1");
        setIf(call.lastResort(), h, HeaderNames.LAST_RESORT, "1");
        setIf(call.trial(), h, HeaderNames.TRIAL, "1");
        call.knownRateLimit().ifPresent(limit -> h.set(HeaderNames.RATE_LIMIT, Double.toString(limit)));
        h.set(HeaderNames.PRIORITY, Integer.toString(call.priority()));
        h.set(HeaderNames.BASELINE_FAILURES, Double.toString(call.baseline().failureShare()));
        h.set(HeaderNames.BASELINE_SLOW, Double.toString(call.baseline().slowMillis()));
        setIf(!call.team().isEmpty(), h, HeaderNames.TEAM, call.team());
        setIf(!call.caller().isEmpty(), h, HeaderNames.CALLER, call.caller());
    }

    /**
     * Reads a call from the headers of its request.
     *
     * @param request the request
     * @param clock the clock
     * @return the call; a header that is missing or not valid gives a default
     */
    public static BackendCall read(StreamingHttpRequest request, Clock clock) {
        HttpHeaders h = request.headers();
        long now = clock.nanoTime();
        long timeoutMillis = HeaderNames.parseLong(h.get(HeaderNames.DEADLINE), DEFAULT_DEADLINE_MILLIS);
        long targetMillis = HeaderNames.parseLong(h.get(HeaderNames.TARGET), timeoutMillis);
        String service = text(h.get(HeaderNames.SERVICE));
        return new BackendCall(
                text(h.get(HeaderNames.BACKEND)),
                service,
                text(h.get(HeaderNames.TEAM)),
                text(h.get(HeaderNames.CALLER)),
                "true".contentEquals(text(h.get(HeaderNames.IDEMPOTENT))),
                h.contains(HeaderNames.REPEATED),
                h.contains(HeaderNames.LAST_RESORT),
                h.contains(HeaderNames.TRIAL),
                HeaderNames.rateLimitOf(h),
                (int) HeaderNames.parseLong(h.get(HeaderNames.PRIORITY), 0),
                now + timeoutMillis * NANOS_PER_MILLI,
                now + targetMillis * NANOS_PER_MILLI,
                WorkKind.parse(service, h.get(HeaderNames.KIND)),
                HeaderNames.parseDouble(h.get(HeaderNames.COST), 0),
                new Baseline(
                        HeaderNames.parseDouble(h.get(HeaderNames.BASELINE_FAILURES), 0),
                        HeaderNames.parseDouble(h.get(HeaderNames.BASELINE_SLOW), 0)),
                request);
    }

    /**
     * Writes what a backend server has left to do, and the cost of a call if it is known, into the headers of an answer, if
     * calls are assigned by work.
     *
     * @param backend the backend server
     * @param kind the kind of the call
     * @param h the headers of the answer
     */
    static void writeWork(LocalBackend backend, WorkKind kind, HttpHeaders h) {
        if (!backend.work().isPublished()) {
            return;
        }
        h.set(HeaderNames.BUSY, HeaderNames.formatMillis(backend.busyMillis()));
        double cost = backend.work().estimates().expectedMillis(kind);
        setIf(cost > 0, h, HeaderNames.COST, HeaderNames.formatMillis(cost));
    }

    private static void setIf(boolean condition, HttpHeaders h, String name, String value) {
        if (condition) {
            h.set(name, value);
        }
    }

    private static String text(CharSequence value) {
        return value == null ? "" : value.toString();
    }
}
