package io.fuchsiastand.daemon.edge;

import io.fuchsiastand.routing.RouteMatch;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * A request of a caller, with its route and its team.
 *
 * @param request the request
 * @param match the route, and the service that declares it; if the route has a split, the request may go to another service
 * @param team the name of the team that makes the request, or an empty text on open routes
 * @param priority the priority of the request; 0 is the most urgent
 * @param deadline monotonic time by which the request must finish, in nanoseconds
 * @param target monotonic time until which a response is fully useful, in nanoseconds; the deadline if the route sets no target
 *     latency
 */
public record RoutedRequest(
        StreamingHttpRequest request, RouteMatch match, String team, int priority, long deadline, long target) {

    /**
     * Returns a copy with the given team and priority.
     *
     * @param newTeam the name of the team
     * @param newPriority the priority of the requests of the team
     * @return the copy
     */
    public RoutedRequest withTeam(String newTeam, int newPriority) {
        return new RoutedRequest(request, match, newTeam, newPriority, deadline, target);
    }

    /**
     * Returns whether the request may be sent more than once.
     *
     * @return true if its route treats requests of its method as idempotent
     */
    public boolean isIdempotent() {
        return match.route().idempotency().isIdempotent(request.method().name());
    }
}
