package io.fuchsiastand.daemon.limit;

import java.time.Duration;

import io.fuchsiastand.limit.Grant;
import io.servicetalk.concurrent.api.Single;

/** Decides whether a call is within the rate limit (rate and burst) of its team. */
@FunctionalInterface
public interface RateLimiter {

    /**
     * Takes a token for one call, if the rate limit allows it now or within the time that the call can wait.
     *
     * @param team the name of the team
     * @param allowance the name of the allowance, which applies to one service or to all services together
     * @param deadline monotonic time by which the call must be done, in nanoseconds
     * @param maxWait how long the call can wait for a token
     * @return the decision
     */
    Single<Grant> acquire(String team, String allowance, long deadline, Duration maxWait);
}
