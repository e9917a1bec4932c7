package io.fuchsiastand.retry;

import java.time.Duration;
import java.util.function.DoubleSupplier;

import io.fuchsiastand.time.Clock;

/**
 * Limits the retries that reach one service to a share of the requests for it, counted over a sliding window, plus a
 * slack.
 *
 * <p>Each daemon has its own budget, computed from the requests that it has received itself and from its part of the
 * slack of the whole fleet. So the sum over all daemons stays within the limit without any coordination. A process has
 * no slack during its first window, so that no window contains both its slack and the retries of an earlier process of
 * the host.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {

    // The budget counts requests and retries in slices and drops the oldest slice as a whole, so it counts over 9 to
    // 10 slices, and both counts may be too low but not too high. The fleet's rule on retries may count the requests
    // of the current window and of the previous one.
    private static final int SLICES = 10;
    // The budget uses only this share of the ratio, because the service may count a request in another window than
    // the daemon did.
    private static final double RATIO_SAFETY_FACTOR = 0.7;

    private final Clock clock;
    private final long sliceNanos;
    private final double ratio;
    private final DoubleSupplier slack;
    private final int[] requests = new int[SLICES];
    private final double[] retries = new double[SLICES];
    private final long slackAvailableFrom;
    private long currentSlice;

    /**
     * Creates a budget.
     *
     * @param ratio the maximum number of retries as a share of the requests
     * @param window the time over which retries and requests are counted
     * @param slack returns how many additional retries this daemon may make in a window
     * @param processStart monotonic time at which this process started, in nanoseconds, or later; the budget may be created
     *     much later, with the first request for the service
     * @param clock the clock
     */
    public RetryBudget(double ratio, Duration window, DoubleSupplier slack, long processStart, Clock clock) {
        this.ratio = ratio;
        this.slack = slack;
        this.clock = clock;
        sliceNanos = window.toNanos() / SLICES;
        currentSlice = clock.nanoTime() / sliceNanos;
        slackAvailableFrom = processStart + window.toNanos();
    }

    /** Counts a request. */
    public synchronized void recordRequest() {
        requests[advance()]++;
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @return false if the budget is used up, so that the caller must not retry
     */
    public synchronized boolean tryRetry() {
        int index = advance();
        double retriesInWindow = 0;
        int requestsInWindow = 0;
        for (int i = 0; i < SLICES; i++) {
            retriesInWindow += retries[i];
            requestsInWindow += requests[i];
        }
        double availableSlack = clock.nanoTime() - slackAvailableFrom < 0 ? 0 : slack.getAsDouble();
        if (retriesInWindow + 1 > RATIO_SAFETY_FACTOR * ratio * requestsInWindow + availableSlack) {
            return false;
        }
        retries[index]++;
        return true;
    }

    /**
     * Counts retries that happen without a check of the budget, such as the calls that a backend server makes to this
     * service while it runs a retried call.
     *
     * @param amount the expected number of retries, which may be a fraction
     */
    public synchronized void recordRetries(double amount) {
        retries[advance()] += amount;
    }

    // Clears the slices that have expired since the last call and returns the index of the current slice.
    private int advance() {
        long slice = clock.nanoTime() / sliceNanos;
        if (slice - currentSlice >= SLICES) {
            currentSlice = slice - SLICES;
        }
        while (currentSlice < slice) {
            currentSlice++;
            int i = (int) Math.floorMod(currentSlice, (long) SLICES);
            requests[i] = 0;
            retries[i] = 0;
        }
        return (int) Math.floorMod(slice, (long) SLICES);
    }
}
