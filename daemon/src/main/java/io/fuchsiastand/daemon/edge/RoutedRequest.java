package io.fuchsiastand.daemon.edge;

import java.util.List;
import java.util.random.RandomGenerator;

import io.fuchsiastand.config.WeightedService;
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
     * Returns whether a backend server is assumed to make the request while it runs another one: a request without a team is on an
     * open route. The other request would fail too if this one were refused.
     *
     * @return true if the request goes before all requests of teams
     */
    public boolean isPartOfRequest() {
        return team.isEmpty();
    }

    /**
     * Returns whether the request may be sent more than once.
     *
     * @return true if its route treats requests of its method as idempotent
     */
    public boolean isIdempotent() {
        return match.route().idempotency().isIdempotent(request.method().name());
    }

    /**
     * Chooses the service that the request goes to, by the weights of the split of its route. If that service lacks capacity, the
     * request is refused and not sent to another one.
     *
     * @param random the source of random numbers
     * @return the name of the service
     */
    public String chooseService(RandomGenerator random) {
        List<WeightedService> split = match.route().split();
        if (split.isEmpty()) {
            return match.service().name();
        }
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = random.nextDouble() * total;
        for (WeightedService w : split) {
            remaining -= w.weight();
            if (remaining < 0) {
                return w.service();
            }
        }
        return split.get(split.size() - 1).service();
    }
}
