package io.fuchsiastand.daemon;

import io.fuchsiastand.routing.RouteMatch;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * A request of a caller on its way.
 *
 * @param request the request
 * @param match its route
 * @param team its team, or an empty text on open routes
 * @param deadline monotonic time by which it must be done, in nanoseconds
 */
public record Exchange(StreamingHttpRequest request, RouteMatch match, String team, long deadline) {

    /**
     * Returns the exchange with its team.
     *
     * @param name the name of the team
     * @return the exchange
     */
    public Exchange withTeam(String name) {
        return new Exchange(request, match, name, deadline);
    }

    /**
     * Tells whether the request may be sent more than once.
     *
     * @return true if its route or its method makes it idempotent
     */
    public boolean isIdempotent() {
        return match.route().idempotency().isIdempotent(request.method().name());
    }
}
