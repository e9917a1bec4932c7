package io.fuchsiastand.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import java.util.Set;

import io.servicetalk.http.api.HttpHeaders;

/** Names of headers, and methods that remove the headers which must not be forwarded. */
public final class HeaderNames {

    /** Whether a refused or failed call ran: {@code not-run} or {@code unknown}. */
    public static final String RUN_STATE = "fuchsiastand-run-state";
    /** Time limit of a call in milliseconds, set by the caller and, between daemons, by the ingress daemon. */
    public static final String DEADLINE = "fuchsiastand-deadline-ms";
    /** The team of a call, set by the daemon. */
    public static final String TEAM = "fuchsiastand-team";
    /** The backend server that an ingress daemon chose; used only between daemons. */
    public static final String BACKEND = "fuchsiastand-backend";
    /** The service of a call; used only between daemons. */
    public static final String SERVICE = "fuchsiastand-service";
    /** Share of the calls of the service that fail, from 0 to 1; used only between daemons. */
    public static final String BASELINE_FAILURES = "fuchsiastand-baseline-failures";
    /** Service time that only a few calls of the service exceed, in milliseconds; used only between daemons. */
    public static final String BASELINE_SLOW = "fuchsiastand-baseline-slow";
    /** Number of calls that a backend server runs or that wait for it; used only between daemons. */
    public static final String LOAD = "fuchsiastand-load";
    /** Shares of the calls to a backend server that found no room lately, by priority; used only between daemons. */
    public static final String REFUSED_SHARES = "fuchsiastand-refused-shares";
    /**
     * Marks a response to a call that was not sent because a service further down has no room, so that no other backend server
     * is tried; used only between daemons.
     */
    public static final String REFUSED_BEFORE_START = "fuchsiastand-refused-before-start";
    /** Time in milliseconds for which the slots of a backend server are expected to be busy; used only between daemons. */
    public static final String BUSY = "fuchsiastand-busy-ms";
    /**
     * Cost of a call of this kind in milliseconds of slot time: on a request, the usual one at the backend servers of the service;
     * on a response, the one at its backend server. Used only between daemons.
     */
    public static final String COST = "fuchsiastand-cost-ms";
    /** Recent health statistics of the backend server; used only between daemons. */
    public static final String SUMMARY = "fuchsiastand-summary";
    /** The service of the host on which a call began; used only between daemons. */
    public static final String CALLER = "fuchsiastand-caller";
    /** Whether a call is idempotent; used only between daemons. */
    public static final String IDEMPOTENT = "fuchsiastand-idempotent";
    /** Marks a call of which an earlier attempt may have reached a backend server; used only between daemons. */
    public static final String REPEATED = "fuchsiastand-repeated";
    /** Time in milliseconds within which a response is fully useful, or 0 if that is over; used only between daemons. */
    public static final String TARGET = "fuchsiastand-target-ms";
    /** The route of a call and the size of its body, by which its work is estimated; used only between daemons. */
    public static final String KIND = "fuchsiastand-kind";
    /** Priority of a call, where 0 is the highest; used only between daemons. */
    public static final String PRIORITY = "fuchsiastand-priority";
    /** Marks a response to a call that was not sent to the backend server; used only between daemons. */
    public static final String NOT_SENT = "fuchsiastand-not-sent";
    /** Probability of a fault of the backend server, set if its circuit breaker rejects the call; used only between daemons. */
    public static final String FAULT_PROBABILITY = "fuchsiastand-suspicion";
    /**
     * Rate limit of a backend server, in calls a second. A backend server in need names it in its responses; daemons tell
     * each other the latest one.
     */
    public static final String RATE_LIMIT = "fuchsiastand-rate-limit";
    /**
     * Time in milliseconds until the backend server takes another call, on a response to a call that was not sent to it; used
     * only between daemons.
     */
    public static final String WAIT = "fuchsiastand-wait-ms";
    /**
     * Marks a response to a call that was not sent because of the rate limit that the backend server named; used only between
     * daemons.
     */
    public static final String RATE_LIMITED = "fuchsiastand-rate-limited";
    /**
     * Marks a response to a call that was not sent because it would have waited too long for a slot; used only between
     * daemons.
     */
    public static final String QUEUE_FULL = "fuchsiastand-queue-full";
    /** Whether a backend server is about to leave its service; set to 1 in its responses and between daemons. */
    public static final String LEAVING = "fuchsiastand-leaving";
    /** Marks a call for which no other backend server is left; used only between daemons. */
    public static final String LAST_RESORT = "fuchsiastand-last-resort";
    /** Marks a trial call to a backend server that is out of rotation. */
    public static final String TRIAL = "fuchsiastand-trial";
    /** Marks a response that a daemon created; the value is the name of its host. */
    public static final String REFUSED_BY = "fuchsiastand-refused-by";
    /** Credential of a caller (RFC 9110, section 11.6.2). */
    public static final String AUTHORIZATION = "authorization";
    /** Identifier of a call in logs, set by the caller or, if missing, by the daemon. */
    public static final String REQUEST_ID = "x-request-id";
    /** Key that a caller sets for a call that must not run twice. */
    public static final String IDEMPOTENCY_KEY = "idempotency-key";
    /** Time after which the caller may retry (RFC 9110, section 10.2.3). */
    public static final String RETRY_AFTER = "retry-after";

    /**
     * Value of {@link #RUN_STATE} if the call did not run: no byte of it can have reached a backend server, or the response of
     * the backend server proves it.
     */
    public static final String NOT_RUN = "not-run";
    /** Value of {@link #RUN_STATE} if the call may have run. */
    public static final String UNKNOWN = "unknown";

    private static final double HUNDRED = 100;
    private static final String INTERNAL_PREFIX = "fuchsiastand-";
    // See RFC 9110, section 7.6.1. Transfer-Encoding is not in the list, because ServiceTalk rewrites it.
    private static final List<String> HOP_BY_HOP = List.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "upgrade",
            "proxy-authenticate",
            "proxy-authorization",
            "expect");

    // These fields frame the body, which is forwarded. It would be lost if they were removed because Connection names
    // them.
    private static final Set<String> FRAMING = Set.of("content-length", "transfer-encoding");

    private HeaderNames() {}

    /**
     * Removes the hop-by-hop headers, which concern one connection only.
     *
     * @param headers the headers of a request or a response
     */
    public static void removeHopByHop(HttpHeaders headers) {
        List<String> connectionOptions = new ArrayList<>();
        headers.valuesIterator("connection").forEachRemaining(v -> {
            for (String n : v.toString().split(",")) {
                connectionOptions.add(n.strip().toLowerCase(Locale.ROOT));
            }
        });
        connectionOptions.stream()
                .filter(n -> !n.isEmpty() && !FRAMING.contains(n))
                .forEach(headers::remove);
        HOP_BY_HOP.forEach(headers::remove);
    }

    /**
     * Removes all headers with the prefix of this product, which daemons exchange, so that callers and backend servers
     * cannot forge them, and receive only those that are set afterwards.
     *
     * @param headers the headers
     */
    public static void removeInternal(HttpHeaders headers) {
        List<String> internal = new ArrayList<>();
        headers.forEach(e -> {
            String n = e.getKey().toString().toLowerCase(Locale.ROOT);
            if (n.startsWith(INTERNAL_PREFIX)) {
                internal.add(n);
            }
        });
        internal.forEach(headers::remove);
    }

    /**
     * Returns whether a response states that the call did not run.
     *
     * @param h the headers of the response
     * @return true if the value of {@link #RUN_STATE} is {@link #NOT_RUN}
     */
    public static boolean isNotRun(HttpHeaders h) {
        CharSequence v = h.get(RUN_STATE);
        return v != null && NOT_RUN.contentEquals(v);
    }

    /**
     * Returns the rate limit of a backend server that another daemon states.
     *
     * @param h the headers of a request or a response between daemons
     * @return the value of {@link #RATE_LIMIT} in calls a second, or empty if there is none
     */
    public static OptionalDouble rateLimitOf(HttpHeaders h) {
        return parseRate(h.get(RATE_LIMIT));
    }

    /**
     * Parses a rate.
     *
     * @param value the value of a header, or null
     * @return calls a second, or empty if the value is null or not a finite number of at least 0
     */
    static OptionalDouble parseRate(CharSequence value) {
        double rate = parseDouble(value, -1);
        return rate >= 0 && rate < Double.POSITIVE_INFINITY ? OptionalDouble.of(rate) : OptionalDouble.empty();
    }

    /**
     * Formats a duration.
     *
     * @param millis the duration in milliseconds
     * @return the number, rounded to a hundredth of a millisecond if it is below one, otherwise to a whole number
     */
    public static String formatMillis(double millis) {
        return millis < 1 ? Double.toString(Math.ceil(millis * HUNDRED) / HUNDRED) : Long.toString(Math.round(millis));
    }

    /**
     * Parses an integer.
     *
     * @param value the value of a header, or null
     * @param fallback the result if the value is null or is not a number
     * @return the number
     */
    public static long parseLong(CharSequence value, long fallback) {
        try {
            return value == null ? fallback : Long.parseLong(value.toString());
        } catch (NumberFormatException e) {
            return fallback;
        }
    }

    /**
     * Parses a decimal number.
     *
     * @param value the value of a header, or null
     * @param fallback the result if the value is null or is not a number
     * @return the number
     */
    public static double parseDouble(CharSequence value, double fallback) {
        try {
            return value == null ? fallback : Double.parseDouble(value.toString());
        } catch (NumberFormatException e) {
            return fallback;
        }
    }
}
