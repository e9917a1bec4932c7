package io.fuchsiastand.config;

import java.time.Duration;
import java.util.List;

/**
 * A service and its routes.
 *
 * @param name the name that backend servers announce
 * @param floor the share of the service's capacity, 0 to 1, below which ejection does not go
 * @param timeout the deadline of a request that brings none
 * @param queue requests that may wait at one backend server
 * @param detection the trade between detection time and false ejections
 * @param routes the routes that lead to the service
 */
public record Service(String name, double floor, Duration timeout, int queue, Detection detection, List<Route> routes) {

    /** Share of the capacity that ejection leaves when the operator names none. */
    public static final double DEFAULT_FLOOR = 0.5;
    /** Deadline of a request when neither operator nor caller names one. */
    public static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);
    /** Requests that may wait at one backend server when the operator names no number. */
    public static final int DEFAULT_QUEUE = 16;

    /** Copies the routes. */
    public Service {
        routes = List.copyOf(routes);
    }
}
