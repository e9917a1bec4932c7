package io.fuchsiastand.config;

import java.time.Duration;

/**
 * The timeout, priority and retry limit of the requests of a route.
 *
 * @param timeout the maximum duration of a request, whatever deadline its caller sets; zero if the route sets none. For
 *     a request whose caller sets no deadline, the shorter of this timeout and the timeout of the service applies
 * @param target the target latency, within which a response is fully useful to its caller, or zero if none is set
 * @param priority the priority of its requests; 0 is the most urgent
 * @param mostAttempts the maximum number of backend servers that one request may be sent to
 */
public record RoutePolicy(Duration timeout, Duration target, int priority, int mostAttempts) {

    /** The maximum number of attempts for a request of a route that sets no maximum. */
    public static final int DEFAULT_ATTEMPT_LIMIT = 3;

    /** The policy of a route that sets no timeout, target latency, priority or number of attempts. */
    public static final RoutePolicy DEFAULT = new RoutePolicy(Duration.ZERO, Duration.ZERO, 0, DEFAULT_ATTEMPT_LIMIT);
}
