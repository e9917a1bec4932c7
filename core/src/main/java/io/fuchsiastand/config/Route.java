package io.fuchsiastand.config;

import java.util.List;

/**
 * A rule that maps requests to a service by their host and path.
 *
 * @param host the host to match, in lower case, or {@code *} for any
 * @param path the path prefix to match; a prefix that ends with a slash matches only paths that
 *     have this slash: {@code /a/} matches {@code /a/} and {@code /a/b}, but not {@code /a}
 * @param open whether requests are accepted without a team key
 * @param idempotency which requests are idempotent
 * @param policy the timeout, priority and retry limit of its requests
 * @param split the services among which its requests are divided; empty if all requests go to the service that the
 *     route belongs to
 * @param match how the path prefix is compared
 */
public record Route(
        String host,
        String path,
        boolean open,
        Idempotency idempotency,
        RoutePolicy policy,
        List<WeightedService> split,
        PathMatch match) {

    /** The value of {@link #host} that matches any host. */
    public static final String ANY_HOST = "*";

    /** Sets defaults for components that configurations written by older software lack, and copies the split. */
    public Route {
        policy = policy == null ? RoutePolicy.DEFAULT : policy;
        split = split == null ? List.of() : List.copyOf(split);
        match = match == null ? PathMatch.SEGMENTS : match;
    }

    /**
     * Creates a route with the default policy, whose path prefix is compared by segments.
     *
     * @param host the host to match
     * @param path the path prefix to match
     * @param open whether requests are accepted without a team key
     * @param idempotency which requests are idempotent
     * @return the route
     */
    public static Route of(String host, String path, boolean open, Idempotency idempotency) {
        return new Route(host, path, open, idempotency, RoutePolicy.DEFAULT, List.of(), PathMatch.SEGMENTS);
    }
}
