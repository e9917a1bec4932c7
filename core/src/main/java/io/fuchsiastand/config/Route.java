package io.fuchsiastand.config;

/**
 * Maps requests to a service.
 *
 * @param host the host to match, in lower case, or {@code *} for any
 * @param path the path prefix to match, by whole segments
 * @param open whether requests need no team key
 * @param idempotency which requests are idempotent
 */
public record Route(String host, String path, boolean open, Idempotency idempotency) {

    /** The host that matches any host. */
    public static final String ANY_HOST = "*";
}
