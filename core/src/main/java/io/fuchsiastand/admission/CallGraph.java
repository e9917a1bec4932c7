package io.fuchsiastand.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import io.fuchsiastand.time.Clock;

/**
 * Fan-out by route, estimated by expectation maximisation: to which services the backend servers of this host make calls, and
 * how many for each request that they run. A call does not name the request that causes it. It belongs to the running
 * request with the same deadline; if there is none, it is divided among the running requests in proportion to the calls
 * that their routes are known to make. Counts decay exponentially. Bounded in memory.
 *
 * <p>Thread-safe. All times are monotonic, in nanoseconds.
 */
public final class CallGraph {

    static final int MAX_ROUTES = 64;
    static final int MAX_SERVICES = 32;

    private static final double DECAY_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long DEADLINE_TOLERANCE_NANOS = Duration.ofMillis(20).toNanos();
    // Share that a route without known calls gets of a call that fits several routes.
    private static final double PRIOR_CALLS = 0.05;
    // Below this number of recent requests, a route is forgotten if another one needs its place.
    private static final double MIN_REQUESTS = 0.1;
    // Requests of a route beyond those counted, so that the first calls are no proof of many.
    private static final double PRIOR_REQUESTS = 2;

    private final Clock clock;
    private final Map<String, Route> routes = new HashMap<>();
    private final Set<Request> running = new LinkedHashSet<>();

    private static final class Route {
        private final DecayingSum requests = new DecayingSum(DECAY_NANOS);
        private final Map<String, DecayingSum> calls = new HashMap<>();

        private double callsPerRequest(String service, long now) {
            DecayingSum c = calls.get(service);
            return c == null ? 0 : c.get(now) / (requests.get(now) + PRIOR_REQUESTS);
        }
    }

    /** A request that a backend server of this host runs. */
    public static final class Request {
        private final String route;
        private final long deadline;

        private Request(String route, long deadline) {
            this.route = route;
            this.deadline = deadline;
        }
    }

    /**
     * Creates a graph without calls.
     *
     * @param clock the clock
     */
    public CallGraph(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that a backend server of this host starts to run a request.
     *
     * @param route identifies the route of the request
     * @param deadline time by which the request must finish
     * @return the request, which must be given to {@link #end}
     */
    public synchronized Request begin(String route, long deadline) {
        long now = clock.nanoTime();
        if (routes.size() >= MAX_ROUTES && !routes.containsKey(route)) {
            routes.values().removeIf(r -> r.requests.get(now) < MIN_REQUESTS);
        }
        if (routes.size() < MAX_ROUTES || routes.containsKey(route)) {
            routes.computeIfAbsent(route, k -> new Route()).requests.add(1, now);
        }
        running.removeIf(r -> now - r.deadline > 0);
        Request r = new Request(route, deadline);
        running.add(r);
        return r;
    }

    /**
     * Records that a request makes no more calls.
     *
     * @param request the request; without effect if it has ended before
     */
    public synchronized void end(Request request) {
        running.remove(request);
    }

    /**
     * Records a call by a backend server of this host. Without running requests, the call has no effect.
     *
     * @param service the service that is called
     * @param deadline time by which the call must finish, as the backend server states it
     */
    public synchronized void recordCall(String service, long deadline) {
        long now = clock.nanoTime();
        List<Request> sameDeadline = new ArrayList<>();
        for (Request r : running) {
            if (Math.abs(r.deadline - deadline) <= DEADLINE_TOLERANCE_NANOS) {
                sameDeadline.add(r);
            }
        }
        Collection<Request> parents = sameDeadline.isEmpty() ? running : sameDeadline;
        Map<String, Double> weights = new HashMap<>();
        double total = 0;
        for (Request r : parents) {
            Route route = routes.get(r.route);
            if (route != null) {
                double w = PRIOR_CALLS + route.callsPerRequest(service, now);
                weights.merge(r.route, w, Double::sum);
                total += w;
            }
        }
        for (Map.Entry<String, Double> w : weights.entrySet()) {
            Map<String, DecayingSum> calls = routes.get(w.getKey()).calls;
            if (calls.size() < MAX_SERVICES || calls.containsKey(service)) {
                calls.computeIfAbsent(service, k -> new DecayingSum(DECAY_NANOS))
                        .add(w.getValue() / total, now);
            }
        }
    }

    /**
     * Returns the calls that a request is expected to make.
     *
     * @param route identifies the route of the request
     * @return the mean number of calls of a request by the name of the service that they go to
     */
    public synchronized Map<String, Double> expectedCalls(String route) {
        long now = clock.nanoTime();
        Map<String, Double> out = new TreeMap<>();
        Route r = routes.get(route);
        if (r != null) {
            r.calls.keySet().forEach(s -> out.put(s, r.callsPerRequest(s, now)));
        }
        return out;
    }
}
