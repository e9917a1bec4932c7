package io.fuchsiastand.retry;

import java.time.Duration;
import java.util.Arrays;
import java.util.function.DoubleSupplier;

import io.fuchsiastand.time.Clock;

/**
 * Limits the retries that reach one service to a share of the requests for it, counted over a sliding window, plus a
 * slack.
 *
 * <p>Each daemon has its own budget, computed from the requests that it has received itself and from its part of the
 * slack of the whole fleet. So the sum over all daemons stays within the limit without any coordination. In a large fleet
 * such a part is less than one retry, so a daemon can borrow what it lacks from others, which count it as used. A process has
 * no slack during its first window and lends nothing, so that no window contains both its slack and the retries of an
 * earlier process of the host.
 *
 * <p>Thread-safe.
 */
public final class RetryBudget {

    // The budget counts in slices and drops the oldest slice as a whole. It counts requests over 9 to 10 slices and
    // retries over 10 to 11, so the first count may be too low and the second too high, but not the other way round.
    // The fleet's rule on retries may count the requests of the current window and of the previous one.
    private static final int SLICES = 10;
    private static final int RETRY_SLICES = SLICES + 1;
    // The budget uses only this share of the ratio, because the service may count a request in another window than
    // the daemon did.
    private static final double RATIO_SAFETY_FACTOR = 0.7;
    // Below this, a daemon keeps its deficit, so that deficits do not move between daemons without end.
    private static final double MAX_DEFICIT = 0.1;

    private final Clock clock;
    private final long sliceNanos;
    private final double ratio;
    private final DoubleSupplier slack;
    private final int[] requests = new int[SLICES];
    private final double[] retries = new double[RETRY_SLICES];
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
        advance();
        requests[index(SLICES)]++;
    }

    /**
     * Counts a retry if the budget allows it.
     *
     * @return false if the budget is used up, so that the caller must not retry
     */
    public synchronized boolean tryRetry() {
        advance();
        if (available() < 1) {
            return false;
        }
        retries[index(RETRY_SLICES)]++;
        return true;
    }

    /**
     * Lends a part of a retry to another daemon whose budget is used up. It counts as used here, so the budgets of the fleet
     * together allow no more retries than without loans.
     *
     * @param wanted the part that the other daemon lacks, from 0 to 1
     * @return the part that it may use, at most what it wants and what this budget has left
     */
    public synchronized double lend(double wanted) {
        advance();
        // What an earlier process of this host had lent is not known in the first window.
        if (isInFirstWindow()) {
            return 0;
        }
        double lent = Math.max(0, Math.min(Math.min(1, wanted), available()));
        retries[index(RETRY_SLICES)] += lent;
        return lent;
    }

    /**
     * Counts retries that happen without a check of the budget, such as the calls that a backend server makes to this
     * service while it runs a retried call.
     *
     * @param amount the expected number of retries, which may be a fraction
     */
    public synchronized void recordRetries(double amount) {
        advance();
        retries[index(RETRY_SLICES)] += amount;
    }

    /**
     * Returns the retries that were counted without a check and exceed this budget, if there are so many that other daemons
     * should count a part of them.
     *
     * @return the number of retries, which may be a fraction, or 0
     */
    public synchronized double deficit() {
        advance();
        double deficit = -available();
        return deficit > MAX_DEFICIT ? deficit : 0;
    }

    /**
     * Counts retries that another daemon made without a check and that exceed its budget. This budget may get a small deficit
     * by that, so that retries which need no check leave fewer for those which do, on all daemons.
     *
     * @param amount the deficit of the other daemon
     * @return the part that is counted here
     */
    public synchronized double takeOver(double amount) {
        advance();
        if (!(amount > 0)) {
            return 0;
        }
        double taken = Math.max(0, Math.min(amount, available() + MAX_DEFICIT));
        retries[index(RETRY_SLICES)] += taken;
        return taken;
    }

    /**
     * Stops counting retries of this daemon that other daemons have taken over.
     *
     * @param amount the number of retries, which may be a fraction
     */
    public synchronized void handOver(double amount) {
        advance();
        retries[index(RETRY_SLICES)] -= amount;
    }

    private boolean isInFirstWindow() {
        return clock.nanoTime() - slackAvailableFrom < 0;
    }

    private double available() {
        double availableSlack = isInFirstWindow() ? 0 : slack.getAsDouble();
        return RATIO_SAFETY_FACTOR * ratio * Arrays.stream(requests).sum()
                + availableSlack
                - Arrays.stream(retries).sum();
    }

    // Clears the slices that have expired since the last call.
    private void advance() {
        long slice = clock.nanoTime() / sliceNanos;
        if (slice - currentSlice >= RETRY_SLICES) {
            currentSlice = slice - RETRY_SLICES;
        }
        while (currentSlice < slice) {
            currentSlice++;
            requests[index(SLICES)] = 0;
            retries[index(RETRY_SLICES)] = 0;
        }
    }

    private int index(int slices) {
        return (int) Math.floorMod(currentSlice, (long) slices);
    }
}
