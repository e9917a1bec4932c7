package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The rate limit that a backend server names in its responses. While a limit is in force, each call takes a token from a
 * bucket that refills at this rate and holds the tokens of one second, but at least one. The bucket is empty when the limit
 * comes into force, because the backend server got calls just before.
 *
 * <p>Thread-safe. All times are monotonic, in nanoseconds.
 */
public final class BackendRateLimit {

    /** The time over which calls are counted for {@link #excessCalls}. */
    public static final Duration WINDOW = Duration.ofSeconds(4);
    /**
     * The rate, in calls a second, at which a backend server gets calls if it names a lower limit. Without calls, a limit of 0
     * could not be withdrawn.
     */
    public static final double MIN_RATE = 0.2;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1000;
    private static final double MIN_SHARE = 1.0 / 16;

    private final TokenBucket bucket = new TokenBucket(0, 0, 0);
    private OptionalDouble rate = OptionalDouble.empty();
    private long inForceSince;
    // The start times of the calls within the window, the oldest first; empty without a limit.
    private final Deque<Long> calls = new ArrayDeque<>();

    /**
     * Sets the limit.
     *
     * @param newRate calls a second, or empty if there is no limit
     * @param now monotonic time
     * @return whether the limit has changed
     */
    public synchronized boolean set(OptionalDouble newRate, long now) {
        if (newRate.equals(rate)) {
            return false;
        }
        if (newRate.isPresent()) {
            bucket.configure(effectiveRate(newRate), burst(newRate), now);
            if (rate.isEmpty()) {
                bucket.reset(now);
                inForceSince = now;
            }
        }
        rate = newRate;
        return true;
    }

    /**
     * Sets the limit if there is none.
     *
     * @param newRate calls a second
     * @param now monotonic time
     * @return whether there was none
     */
    public synchronized boolean setIfNone(double newRate, long now) {
        return rate.isEmpty() && set(OptionalDouble.of(newRate), now);
    }

    /**
     * Returns the limit.
     *
     * @return calls a second, or empty if there is no limit
     */
    public synchronized OptionalDouble rate() {
        return rate;
    }

    /**
     * Takes a token for a call that is about to be sent.
     *
     * @param now monotonic time
     * @return false if the limit does not allow the call now
     */
    public synchronized boolean tryTake(long now) {
        if (rate.isEmpty()) {
            return true;
        }
        if (bucket.level(now, 0) < 1) {
            return false;
        }
        bucket.take(1);
        return true;
    }

    /** Returns the token of a call that was not sent after all. */
    public synchronized void putBack() {
        if (rate.isPresent()) {
            bucket.putBack(1);
        }
    }

    /**
     * Returns the time until the limit allows another call.
     *
     * @param now monotonic time
     * @return the time, or zero if a call is allowed now
     */
    public synchronized Duration waitTime(long now) {
        if (rate.isEmpty()) {
            return Duration.ZERO;
        }
        double missing = Math.max(0, 1 - bucket.level(now, 0));
        return Duration.ofNanos((long) Math.ceil(missing / effectiveRate(rate) * NANOS_PER_SECOND));
    }

    /**
     * Returns the share of its capacity that the backend server can use within the limit. The share is rounded down to a power
     * of two, so that it changes seldom.
     *
     * @param slots maximum number of concurrent calls
     * @param meanMillis mean time of a call, in milliseconds, or 0 if unknown
     * @return from 1/16 to 1; 1 if there is no limit or the mean time is unknown
     */
    public synchronized double capacityShare(int slots, double meanMillis) {
        if (rate.isEmpty() || meanMillis <= 0) {
            return 1;
        }
        double usedSlots = effectiveRate(rate) * meanMillis / MILLIS_PER_SECOND;
        return Math.max(MIN_SHARE, Math.min(1, Math.scalb(1.0, Math.getExponent(usedSlots / slots))));
    }

    /**
     * Records that a call is sent to the backend server. Has no effect without a limit.
     *
     * @param now monotonic time
     */
    public synchronized void recordCall(long now) {
        forgetOldCalls(now);
        if (rate.isPresent()) {
            calls.add(now);
        }
    }

    /**
     * Returns how many calls the backend server got in the last {@link #WINDOW} beyond what the limit allows.
     *
     * @param now monotonic time
     * @return the number of calls, or 0 if there is no limit or it has been in force for less than the window
     */
    public synchronized int excessCalls(long now) {
        forgetOldCalls(now);
        if (rate.isEmpty() || now - inForceSince < WINDOW.toNanos()) {
            return 0;
        }
        double allowed = effectiveRate(rate) * WINDOW.toNanos() / NANOS_PER_SECOND + burst(rate);
        return (int) Math.max(0, Math.ceil(calls.size() - allowed));
    }

    private static double effectiveRate(OptionalDouble limit) {
        return Math.max(MIN_RATE, limit.getAsDouble());
    }

    private static double burst(OptionalDouble limit) {
        return Math.max(1, limit.getAsDouble());
    }

    private void forgetOldCalls(long now) {
        while (!calls.isEmpty() && now - calls.peek() >= WINDOW.toNanos()) {
            calls.poll();
        }
    }
}
