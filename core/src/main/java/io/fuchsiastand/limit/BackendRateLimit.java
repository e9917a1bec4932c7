package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * The rate limit that a backend server names in its responses, and the calls that it gets while the limit is in force.
 *
 * <p>Thread-safe. All times are monotonic, in nanoseconds.
 */
public final class BackendRateLimit {

    /** The time over which calls are counted for {@link #excessCalls}. */
    public static final Duration WINDOW = Duration.ofSeconds(4);

    private static final double NANOS_PER_SECOND = 1e9;

    private OptionalDouble rate = OptionalDouble.empty();
    private long inForceSince;
    // The start times of the calls within the window, the oldest first.
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
        if (rate.isEmpty()) {
            inForceSince = now;
        }
        rate = newRate;
        return true;
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
     * Records that a call is sent to the backend server.
     *
     * @param now monotonic time
     */
    public synchronized void recordCall(long now) {
        forgetOldCalls(now);
        calls.add(now);
    }

    /**
     * Returns how many calls the backend server got in the last {@link #WINDOW} beyond what the limit allows, including one
     * second's worth of calls at once.
     *
     * @param now monotonic time
     * @return the number of calls, or 0 if there is no limit or it has been in force for less than the window
     */
    public synchronized int excessCalls(long now) {
        forgetOldCalls(now);
        if (rate.isEmpty() || now - inForceSince < WINDOW.toNanos()) {
            return 0;
        }
        double allowed = rate.getAsDouble() * WINDOW.toNanos() / NANOS_PER_SECOND + burst(rate.getAsDouble());
        return (int) Math.max(0, Math.ceil(calls.size() - allowed));
    }

    private static double burst(double rate) {
        return Math.max(1, rate);
    }

    private void forgetOldCalls(long now) {
        while (!calls.isEmpty() && now - calls.peek() >= WINDOW.toNanos()) {
            calls.poll();
        }
    }
}
