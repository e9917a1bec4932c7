package io.fuchsiastand.work;

import java.util.regex.Pattern;

import io.fuchsiastand.config.Route;

/**
 * Calls that are expected to cost a backend server about the same: those of one route with bodies of similar length.
 *
 * @param service the name of the service that runs the calls
 * @param route a digest of the route in hexadecimal digits
 * @param bodySize number of digits of the body's length in base 4, or 0 without a body
 */
public record WorkKind(String service, String route, int bodySize) {

    private static final int MAX_BODY_SIZE = Long.SIZE / 2;
    private static final char SEPARATOR = '.';
    private static final Pattern TEXT = Pattern.compile("[0-9a-f]{1,8}\\.[0-9]{1,2}");

    /**
     * Returns the kind of a request.
     *
     * @param service the name of the service that runs it
     * @param route its route
     * @param bodyBytes the length of its body in bytes; a negative number or {@link Long#MAX_VALUE} if it is unknown
     * @return the kind
     */
    public static WorkKind of(String service, Route route, long bodyBytes) {
        int size = bodyBytes < 0 || bodyBytes == Long.MAX_VALUE
                ? MAX_BODY_SIZE
                : (Long.SIZE - Long.numberOfLeadingZeros(bodyBytes) + 1) / 2;
        return new WorkKind(service, digestOf(route), size);
    }

    /**
     * Returns the digest of a route.
     *
     * @param route the route
     * @return the digest in hexadecimal digits, as in {@link #route}
     */
    public static String digestOf(Route route) {
        return Integer.toHexString(31 * route.host().hashCode() + route.path().hashCode());
    }

    /**
     * Parses the form that {@link #toText} writes.
     *
     * @param service the name of the service that runs the call
     * @param text the route and the size of the body, or null
     * @return the kind; calls whose text is missing or not valid share one kind in each service
     */
    public static WorkKind parse(String service, CharSequence text) {
        String s = text == null ? "" : text.toString();
        if (!TEXT.matcher(s).matches()) {
            return new WorkKind(service, "", 0);
        }
        int dot = s.indexOf(SEPARATOR);
        return new WorkKind(
                service, s.substring(0, dot), Math.min(MAX_BODY_SIZE, Integer.parseInt(s.substring(dot + 1))));
    }

    /**
     * Returns the length that all bodies of the kind stay below.
     *
     * @return the length in bytes; 0 without a body, {@link Long#MAX_VALUE} if it is unknown
     */
    public long bodyLimit() {
        if (bodySize == 0) {
            return 0;
        }
        return bodySize >= MAX_BODY_SIZE ? Long.MAX_VALUE : 1L << 2 * bodySize;
    }

    /**
     * Returns the route and the size of the body in the form in which daemons tell each other.
     *
     * @return the text, without the service
     */
    public String toText() {
        return route + SEPARATOR + bodySize;
    }
}
