package io.fuchsiastand.config;

import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * The rate limit that a plan sets for the calls of each of its teams to one service, or to all services together. The
 * limit holds for the calls to all hosts together.
 *
 * @param rate the sustained rate in requests per second
 * @param burst the number of requests that a team may send at once
 */
public record Allowance(double rate, double burst) {

    /** The allowance of a team without a limit. Its requests are neither counted nor refused for want of tokens. */
    public static final Allowance UNLIMITED = new Allowance(1e9, 1e9);

    /**
     * Returns whether the requests of a team are limited.
     *
     * @return false if the rate is at least that of {@link #UNLIMITED}
     */
    @JsonIgnore
    public boolean isLimited() {
        return rate < UNLIMITED.rate;
    }
}
