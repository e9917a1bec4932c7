package io.fuchsiastand.queue;

import java.util.random.RandomGenerator;

/** Jittered backoff: spreads the times at which refused callers return, so that they do not return together. */
public final class RetrySpread {

    private static final double NANOS_PER_MILLI = 1e6;
    // Width of the interval over which callers are spread, as a share of its end.
    private static final double SPREAD_SHARE = 1 / 3.0;

    private RetrySpread() {}

    /**
     * Chooses after which time a refused caller may retry.
     *
     * @param waitNanos the expected time until the call would have got a slot, in nanoseconds
     * @param latestNanos the time after which the call could not finish by its deadline any more, in nanoseconds
     * @param random chooses the time in the interval
     * @return milliseconds: from the expected wait to half as long again, but no later than the latest time and at least
     *     {@link FairQueue#MIN_WAIT_MILLIS}
     */
    public static long retryAfterMillis(long waitNanos, long latestNanos, RandomGenerator random) {
        double end = Math.min(waitNanos / (1 - SPREAD_SHARE), latestNanos) / NANOS_PER_MILLI;
        double millis = end * (1 - SPREAD_SHARE * random.nextDouble());
        return Math.max(FairQueue.MIN_WAIT_MILLIS, (long) millis);
    }
}
