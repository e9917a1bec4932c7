package io.fuchsiastand.routing;

import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;

/**
 * The result of a route lookup.
 *
 * @param service the service that declares the route
 * @param route the route that matched
 */
public record RouteMatch(Service service, Route route) {}
