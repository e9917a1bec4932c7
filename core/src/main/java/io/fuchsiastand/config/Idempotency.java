package io.fuchsiastand.config;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Determines which requests of a route are idempotent. */
public enum Idempotency {
    /**
     * GET, HEAD, OPTIONS, PUT and DELETE requests are idempotent. All others, TRACE included, count as not idempotent
     * (compare RFC 9110, section 9.2.2).
     */
    @JsonProperty("by-method")
    BY_METHOD,
    /** Every request of the route is idempotent. */
    @JsonProperty("always")
    ALWAYS,
    /** No request of the route is idempotent. */
    @JsonProperty("never")
    NEVER;

    /**
     * Returns whether a request may be sent more than once.
     *
     * @param method the HTTP method in upper case
     * @return true if the request is idempotent
     */
    public boolean isIdempotent(String method) {
        return switch (this) {
            case ALWAYS -> true;
            case NEVER -> false;
            case BY_METHOD ->
                switch (method) {
                    case "GET", "HEAD", "OPTIONS", "PUT", "DELETE" -> true;
                    default -> false;
                };
        };
    }
}
