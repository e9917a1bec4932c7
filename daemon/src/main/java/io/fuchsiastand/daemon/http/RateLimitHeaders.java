package io.fuchsiastand.daemon.http;

import java.util.Locale;

import io.fuchsiastand.config.Allowance;
import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.limit.Grant;
import io.servicetalk.http.api.HttpHeaders;

/**
 * The headers that report the rate limit and the time of the next possible call to a caller that exceeded its limit. Their
 * format is that of the IETF draft on RateLimit headers.
 *
 * @param allowanceName the name of the allowance: the name of a service, or {@code *} for all services together
 * @param allowance the rate and burst of the plan
 * @param retryAfterMillis the time until a token is available, in milliseconds
 */
public record RateLimitHeaders(String allowanceName, Allowance allowance, long retryAfterMillis) {

    private static final long MILLIS_PER_SECOND = 1000;

    /**
     * Creates the refusal of a call that exceeds the rate limit.
     *
     * @param allowanceName the name of the allowance: the name of a service, or {@code *} for all services together
     * @param allowance the rate and burst of the plan
     * @param grant the decision of the rate limiter
     * @return the refusal
     */
    public static RefusalException createRefusal(String allowanceName, Allowance allowance, Grant grant) {
        RateLimitHeaders headers = new RateLimitHeaders(allowanceName, allowance, grant.retryAfterMillis());
        return RefusalException.overRate(ErrorCode.OVER_RATE.title(), Math.max(1, grant.retryAfterMillis()), headers);
    }

    /**
     * Adds the headers to a response.
     *
     * @param headers the headers of the response
     */
    public void addTo(HttpHeaders headers) {
        long quota = (long) Math.floor(allowance.burst());
        long window = allowance.rate() <= 0 ? 0 : (long) Math.ceil(allowance.burst() / allowance.rate());
        long reset = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
        headers.set("ratelimit-policy", String.format(Locale.ROOT, "\"%s\";q=%d;w=%d", allowanceName, quota, window));
        headers.set("ratelimit", String.format(Locale.ROOT, "\"%s\";r=0;t=%d", allowanceName, reset));
    }
}
