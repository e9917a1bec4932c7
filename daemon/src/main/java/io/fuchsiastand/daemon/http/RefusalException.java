package io.fuchsiastand.daemon.http;

import io.fuchsiastand.error.ErrorCode;
import io.fuchsiastand.error.FuchsiastandException;

/** Reports that a daemon refuses a call or that the call failed, and whether the call may have run. */
public final class RefusalException extends FuchsiastandException {

    private static final long serialVersionUID = 1L;

    private final boolean notRun;
    private final long retryAfterMillis;
    private final transient RateLimitHeaders rateLimitHeaders;
    private final boolean notSent;
    private final double faultProbability;

    private RefusalException(ErrorCode code, String detail, boolean notRun, long retryAfterMillis, Throwable cause) {
        this(code, detail, notRun, retryAfterMillis, cause, null, false, 1);
    }

    private RefusalException(
            ErrorCode code,
            String detail,
            boolean notRun,
            long retryAfterMillis,
            Throwable cause,
            RateLimitHeaders rateLimitHeaders,
            boolean notSent,
            double faultProbability) {
        super(code, detail, cause, false);
        this.notSent = notSent;
        this.faultProbability = faultProbability;
        this.rateLimitHeaders = rateLimitHeaders;
        this.notRun = notRun;
        this.retryAfterMillis = retryAfterMillis;
    }

    /**
     * Creates the refusal of a call by its ingress daemon, which has not passed the call to the dispatcher.
     *
     * @param code the error code
     * @param detail a description of the problem
     * @return the refusal
     */
    public static RefusalException notRun(ErrorCode code, String detail) {
        return new RefusalException(code, detail, true, 0, null);
    }

    /**
     * Creates the refusal of a call by its ingress daemon, which has not passed the call to the dispatcher. The caller may
     * retry later.
     *
     * @param code the error code
     * @param detail a description of the problem
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     * @return the refusal
     */
    public static RefusalException notRun(ErrorCode code, String detail, long retryAfterMillis) {
        return new RefusalException(code, detail, true, retryAfterMillis, null);
    }

    /**
     * Creates the refusal of a call that exceeds the rate limit.
     *
     * @param detail a description of the problem
     * @param retryAfterMillis the time until a token is available, in milliseconds
     * @param rateLimitHeaders the headers that report the rate limit to the caller
     * @return the refusal
     */
    public static RefusalException overRate(String detail, long retryAfterMillis, RateLimitHeaders rateLimitHeaders) {
        return new RefusalException(
                ErrorCode.OVER_RATE, detail, true, retryAfterMillis, null, rateLimitHeaders, false, 1);
    }

    /**
     * Creates the refusal of a call of which no byte was sent to a backend server. The dispatcher may try another one.
     *
     * @param code the error code
     * @param detail a description of the problem
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds, or 0 if unknown
     * @return the refusal
     */
    public static RefusalException notSent(ErrorCode code, String detail, long retryAfterMillis) {
        return new RefusalException(code, detail, true, retryAfterMillis, null, null, true, 1);
    }

    /**
     * Creates the refusal of a call that the circuit breaker of the backend server rejects.
     *
     * @param faultProbability the probability of a fault of the backend server, from 0 to 1
     * @param retryAfterMillis the time after which the caller may retry, in milliseconds
     * @return the refusal
     */
    public static RefusalException rejectedByCircuitBreaker(double faultProbability, long retryAfterMillis) {
        ErrorCode code = ErrorCode.BACKEND_SUSPECT;
        return new RefusalException(code, code.title(), true, retryAfterMillis, null, null, true, faultProbability);
    }

    /**
     * Creates the refusal of a call that may have run, in this attempt or, if it has an idempotency key, in an earlier one.
     *
     * @param code the error code
     * @param detail a description of the problem
     * @param cause the cause, or null
     * @return the refusal
     */
    public static RefusalException mayHaveRun(ErrorCode code, String detail, Throwable cause) {
        return new RefusalException(code, detail, false, 0, cause);
    }

    /**
     * Returns a copy of this refusal with another time after which the caller may retry.
     *
     * @param millis the time in milliseconds
     * @return a refusal that is otherwise equal
     */
    public RefusalException withRetryAfterMillis(long millis) {
        return new RefusalException(
                code(), getMessage(), notRun, millis, getCause(), rateLimitHeaders, notSent, faultProbability);
    }

    /**
     * Returns whether the call certainly did not run.
     *
     * @return true if no byte of the call can have reached a backend server
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Returns whether the call was dispatched but only daemons received it, so that another attempt is not a retry for the
     * backend servers.
     *
     * @return true if this refusal was created by {@link #notSent} or {@link #rejectedByCircuitBreaker}
     */
    public boolean isNotSent() {
        return notSent;
    }

    /**
     * Returns the probability of a fault of the backend server.
     *
     * @return the probability, from 0 to 1, or 1 if the circuit breaker is not the reason for the refusal
     */
    public double faultProbability() {
        return faultProbability;
    }

    /**
     * Returns the time after which the caller may retry.
     *
     * @return the time in milliseconds, or 0 if unknown
     */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }

    /**
     * Returns the headers that report the rate limit to the caller.
     *
     * @return the headers, or null if the rate limit is not the reason for the refusal
     */
    public RateLimitHeaders rateLimitHeaders() {
        return rateLimitHeaders;
    }
}
