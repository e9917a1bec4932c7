package io.fuchsiastand.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.fuchsiastand.config.Configuration;
import io.fuchsiastand.config.PathMatch;
import io.fuchsiastand.config.Route;
import io.fuchsiastand.config.Service;

/**
 * Finds the route of a request: the route with the longest matching path prefix, compared as its route says. Routes for the
 * host of the request take precedence over routes for any host. The cost of a lookup grows with the length of the
 * path, not with the number of routes.
 *
 * <p>Immutable.
 */
public final class RouteTable {

    private final Map<String, HostRoutes> hosts = new HashMap<>();

    /**
     * Creates the table of the routes of a configuration.
     *
     * @param configuration the configuration
     */
    public RouteTable(Configuration configuration) {
        for (Service s : configuration.services().values()) {
            for (Route r : s.routes()) {
                insert(s, r);
            }
        }
    }

    /**
     * Finds the route of a request.
     *
     * @param host the host of the request without the port, or an empty string
     * @param path the parsed path of the request
     * @return the route and its service, or empty if no route matches
     */
    public Optional<RouteMatch> find(String host, RequestPath path) {
        RouteMatch requestHostMatch = find(hosts.get(host.toLowerCase(Locale.ROOT)), path);
        if (requestHostMatch != null) {
            return Optional.of(requestHostMatch);
        }
        return Optional.ofNullable(find(hosts.get(Route.ANY_HOST), path));
    }

    private static RouteMatch find(HostRoutes routes, RequestPath path) {
        if (routes == null) {
            return null;
        }
        RouteMatch literal = findLiteral(routes.literalPrefixes, path.raw());
        RouteMatch bySegments = findBySegments(routes.root, path);
        boolean preferLiteral = literal != null
                && (bySegments == null
                        || literal.route().path().length()
                                >= bySegments.route().path().length());
        return preferLiteral ? literal : bySegments;
    }

    private static RouteMatch findLiteral(Map<String, RouteMatch> prefixes, String path) {
        RouteMatch found = null;
        for (int i = path.lastIndexOf('/');
                found == null && i >= 0 && !prefixes.isEmpty();
                i = path.lastIndexOf('/', i - 1)) {
            found = prefixes.get(path.substring(0, i + 1));
        }
        return found;
    }

    private static RouteMatch findBySegments(Node root, RequestPath path) {
        List<String> segments = path.segments();
        Node n = root;
        RouteMatch best = n.best(segments.isEmpty() && !path.endsWithSlash());
        for (int i = 0; n != null && i < segments.size(); i++) {
            n = n.children.get(segments.get(i));
            if (n != null) {
                RouteMatch found = n.best(i == segments.size() - 1 && !path.endsWithSlash());
                best = found == null ? best : found;
            }
        }
        return best;
    }

    private void insert(Service service, Route route) {
        HostRoutes routes = hosts.computeIfAbsent(route.host(), k -> new HostRoutes());
        if (route.match() == PathMatch.LITERAL && route.path().endsWith("/")) {
            routes.literalPrefixes.put(route.path(), new RouteMatch(service, route));
            return;
        }
        Node n = routes.root;
        for (String s : RequestPath.parse(route.path()).segments()) {
            n = n.children.computeIfAbsent(s, k -> new Node());
        }
        RouteMatch match = new RouteMatch(service, route);
        if (route.path().length() > 1 && route.path().endsWith("/")) {
            n.matchWithSlash = match;
        } else {
            n.match = match;
        }
    }

    /** The routes of a host. */
    private static final class HostRoutes {
        private final Map<String, RouteMatch> literalPrefixes = new HashMap<>();
        // The routes that are compared by segments.
        private final Node root = new Node();
    }

    /** One path segment in the prefix tree of a host. */
    private static final class Node {
        private final Map<String, Node> children = new HashMap<>(4);
        // The route whose prefix ends here without a slash; it also matches a path that ends here.
        private RouteMatch match;
        // The route whose prefix ends here with a slash; it does not match a path that ends here without a slash.
        private RouteMatch matchWithSlash;

        private RouteMatch best(boolean pathEndsHere) {
            return matchWithSlash != null && !pathEndsHere ? matchWithSlash : match;
        }
    }
}
