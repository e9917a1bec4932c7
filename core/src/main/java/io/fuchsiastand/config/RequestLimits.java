package io.fuchsiastand.config;

import java.time.Duration;

/**
 * Limits on the size and the duration of the requests of callers.
 *
 * @param headerBytes the maximum size of the request line and the header fields together, in bytes
 * @param bodyBytes the maximum size of a body, in bytes
 * @param headerTimeout the maximum time from the first byte of a request to the end of its header fields
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record RequestLimits(int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits that apply unless the configuration sets others. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(16_384, 64L << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
