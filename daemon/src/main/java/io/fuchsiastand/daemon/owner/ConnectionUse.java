package io.fuchsiastand.daemon.owner;

import io.servicetalk.http.api.ReservedStreamingHttpConnection;

/**
 * The use of a connection by one call. When the request was sent and the response was received, both in full, the
 * connection returns to the pool, unless it must carry no further request. In any other case it is closed, because the bytes
 * that follow on it cannot be assigned to a call.
 */
final class ConnectionUse {

    private final ReservedStreamingHttpConnection connection;
    private boolean requestSent;
    private boolean reusable = true;
    private boolean ended;

    ConnectionUse(ReservedStreamingHttpConnection connection) {
        this.connection = connection;
    }

    /** Records that the request was sent in full. */
    synchronized void requestSent() {
        requestSent = true;
    }

    /** Records that the connection must carry no further request, for example because the backend server will close it. */
    synchronized void preventReuse() {
        reusable = false;
    }

    /** Ends the use after a complete response: returns the connection to the pool, or closes it if it is not reusable. */
    synchronized void responseReceived() {
        if (ended) {
            return;
        }
        ended = true;
        if (requestSent && reusable) {
            connection.releaseAsync().subscribe();
        } else {
            connection.closeAsync().subscribe();
        }
    }

    /** Closes the connection without a complete response, unless the use has ended. */
    synchronized void close() {
        if (!ended) {
            ended = true;
            connection.closeAsync().subscribe();
        }
    }
}
