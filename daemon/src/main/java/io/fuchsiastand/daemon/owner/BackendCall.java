package io.fuchsiastand.daemon.owner;

import java.util.OptionalDouble;

import io.fuchsiastand.admission.RoomReport;
import io.fuchsiastand.health.Baseline;
import io.fuchsiastand.work.WorkKind;
import io.servicetalk.http.api.StreamingHttpRequest;

/**
 * A call to a backend server, as the ingress daemon passes it to the daemon of the backend server's host.
 *
 * @param backend the name of the backend server
 * @param service the name of the service
 * @param team the name of the team that makes the call, or an empty text on open routes
 * @param caller the service of the ingress daemon's host, or an empty text if it has none
 * @param idempotent whether the call may be sent more than once
 * @param retry whether an earlier attempt may have reached a backend server
 * @param lastResort whether no other backend server is left for the call
 * @param trial whether the ingress daemon sends the call to test a backend server that is out of rotation
 * @param knownRateLimit the rate limit of the backend server that the ingress daemon knows, in calls a second, or empty
 * @param priority the priority of the call; 0 is the most urgent
 * @param deadline time on the monotonic clock of this host by which the call must finish, in nanoseconds
 * @param target time on the monotonic clock of this host until which a response is fully useful, in nanoseconds; the deadline
 *     if the route sets no target latency
 * @param kind the kind of the call, by which its work is estimated
 * @param usualCostMillis the usual time for which calls of its kind hold a slot, in milliseconds, or 0 if the ingress daemon does
 *     not know it
 * @param baseline typical failures and service times of the service
 * @param request the request; {@link OwnerService} removes its internal headers before it sends the request
 */
public record BackendCall(
        String backend,
        String service,
        String team,
        String caller,
        boolean idempotent,
        boolean retry,
        boolean lastResort,
        boolean trial,
        OptionalDouble knownRateLimit,
        int priority,
        long deadline,
        long target,
        WorkKind kind,
        double usualCostMillis,
        Baseline baseline,
        StreamingHttpRequest request) {

    /**
     * Returns whether a backend server is assumed to make the call while it runs another request: a call without a team is on an
     * open route. The other request would fail too if this call were refused.
     *
     * @return true if the call goes before all requests of teams
     */
    public boolean isPartOfRequest() {
        return team.isEmpty();
    }

    /**
     * Returns the priority with which the call waits for a slot.
     *
     * @return its priority, or {@link RoomReport#CALLS}, the most urgent one, if it is a part of a request
     */
    public int urgency() {
        return isPartOfRequest() ? RoomReport.CALLS : priority;
    }
}
