package io.fuchsiastand.daemon.owner;

import java.util.HashSet;
import java.util.Set;

import io.netty.util.Attribute;
import io.netty.util.AttributeKey;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.transport.netty.internal.NettyConnectionContext;

/**
 * The identifiers of the requests that a connection has carried. A backend server may answer a request once more at any
 * later time, so that an identifier tells the answers on a connection apart only if no two requests there share it.
 */
final class CarriedRequests {

    private static final AttributeKey<CarriedRequests> KEY = AttributeKey.valueOf(CarriedRequests.class.getName());
    private static final int MAX_REQUESTS = 256;

    // Hash codes take less memory than identifiers, and two identifiers with the same one only cost a connection.
    private final Set<Integer> hashCodes = new HashSet<>();

    private CarriedRequests() {}

    /**
     * Records that a connection is about to carry a request.
     *
     * @param connection the connection
     * @param id the identifier of the request, or null if it has none
     * @return false if the connection has carried a request with this identifier, or any if there is none, or so many requests
     *     that it must carry no further one
     */
    static boolean tryAdd(ReservedStreamingHttpConnection connection, CharSequence id) {
        if (!(connection.connectionContext() instanceof NettyConnectionContext c)) {
            return true;
        }
        Attribute<CarriedRequests> attribute = c.nettyChannel().attr(KEY);
        if (attribute.get() == null) {
            attribute.setIfAbsent(new CarriedRequests());
        }
        return attribute.get().tryAdd(id);
    }

    /**
     * Returns whether a connection has carried more than one request.
     *
     * @param connection the connection
     * @return true if further requests were recorded beside the latest one
     */
    static boolean carriesSeveral(ReservedStreamingHttpConnection connection) {
        if (!(connection.connectionContext() instanceof NettyConnectionContext c)) {
            return true;
        }
        CarriedRequests r = c.nettyChannel().attr(KEY).get();
        return r != null && r.carriesSeveral();
    }

    private synchronized boolean carriesSeveral() {
        return hashCodes.size() > 1;
    }

    private synchronized boolean tryAdd(CharSequence id) {
        if (id == null) {
            return hashCodes.isEmpty() && hashCodes.add(0);
        }
        return hashCodes.size() < MAX_REQUESTS && hashCodes.add(id.toString().hashCode());
    }
}
