package io.fuchsiastand.config;

import java.time.Duration;
import java.util.List;

/**
 * A service and its routes.
 *
 * @param name the name that backend servers announce
 * @param floor the share of the slots of the service, 0 to 1, that must stay in rotation when ejected backend servers
 *     are taken out; see {@link io.fuchsiastand.routing.Rotation}
 * @param timeout the maximum duration of a request whose caller sets no deadline; a shorter timeout of its route takes
 *     precedence
 * @param queue the maximum number of requests that wait for one backend server
 * @param detection how sensitively failing backend servers are detected
 * @param routes the routes that lead to the service
 */
public record Service(String name, double floor, Duration timeout, int queue, Detection detection, List<Route> routes) {

    /** The floor of a service for which the operator sets none. */
    public static final double DEFAULT_FLOOR = 0.5;
    /** The timeout of a request for which neither the operator nor the caller sets one. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
    /** The maximum queue length of a service for which the operator sets none. */
    public static final int DEFAULT_QUEUE = 16;

    /** Copies the routes. */
    public Service {
        routes = List.copyOf(routes);
    }
}
