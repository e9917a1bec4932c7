package io.fuchsiastand.daemon;

/** Bounds retries to a share of the requests, so that they never amplify an overload. Thread-safe. */
public final class RetryBudget {

    private static final double SHARE = 0.1;
    private static final double MOST = 50;

    private double tokens = MOST / 2;

    /** Counts a request, which pays for a part of a retry. */
    public synchronized void earn() {
        tokens = Math.min(MOST, tokens + SHARE);
    }

    /**
     * Takes a retry.
     *
     * @return false if the budget is used up
     */
    public synchronized boolean spend() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
