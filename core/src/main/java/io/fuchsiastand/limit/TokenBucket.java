package io.fuchsiastand.limit;

/**
 * A token bucket that refills continuously. Tokens that were granted in a batch and may still be spent count against
 * the capacity, so that the requests in any window never exceed the burst plus the refill in that window.
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    // Added at each refill, because sums of refills lose a few bits: without it, a caller that calls at exactly the
    // rate could be refused a token.
    private static final double ROUNDING_CORRECTION = 1e-9;

    private double rate;
    private double burst;
    private double tokens;
    private long refilledAt;

    /**
     * Creates an empty bucket.
     *
     * @param rate tokens per second
     * @param burst the capacity in tokens
     * @param now monotonic time in nanoseconds
     */
    public TokenBucket(double rate, double burst, long now) {
        this.rate = rate;
        this.burst = burst;
        refilledAt = now;
    }

    /**
     * Changes rate and burst. Tokens above the new burst are discarded.
     *
     * @param newRate tokens per second
     * @param newBurst the capacity in tokens
     * @param now monotonic time in nanoseconds
     */
    public void configure(double newRate, double newBurst, long now) {
        if (newRate != rate || newBurst != burst) {
            refill(now, 0);
            rate = newRate;
            burst = newBurst;
            tokens = Math.min(tokens, burst);
        }
    }

    /**
     * Refills the bucket and returns its level.
     *
     * @param now monotonic time in nanoseconds
     * @param outstanding tokens that were granted in batches and may still be spent
     * @return tokens that can be taken
     */
    public double level(long now, double outstanding) {
        refill(now, outstanding);
        return tokens;
    }

    /**
     * Takes available tokens.
     *
     * @param amount tokens, at most the level
     */
    public void take(double amount) {
        tokens = Math.max(0, tokens - amount);
    }

    /**
     * Returns tokens that were taken and not used. The next refill discards those above the burst.
     *
     * @param amount tokens
     */
    public void putBack(double amount) {
        tokens += amount;
    }

    /**
     * Empties the bucket and restarts its refill.
     *
     * @param now monotonic time in nanoseconds from which the bucket refills
     */
    public void reset(long now) {
        tokens = 0;
        refilledAt = now;
    }

    private void refill(long now, double outstanding) {
        if (now > refilledAt) {
            tokens += rate * (now - refilledAt) / NANOS_PER_SECOND + ROUNDING_CORRECTION;
            refilledAt = now;
        }
        tokens = Math.max(0, Math.min(tokens, burst - outstanding));
    }
}
