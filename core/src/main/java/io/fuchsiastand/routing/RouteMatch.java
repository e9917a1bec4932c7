package io.fuchsiastand.routing;

import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;

/**
 * The route of a request.
 *
 * @param service the service it leads to
 * @param route the route that matched
 */
public record RouteMatch(Service service, Route route) {}
