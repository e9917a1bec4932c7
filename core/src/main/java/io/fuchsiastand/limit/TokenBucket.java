package io.fuchsiastand.limit;

/**
 * A token bucket in continuous time. Tokens that were handed out in a batch and may still be spent count against the
 * capacity, so that no window sees more than the burst and the refill.
 *
 * <p>Not thread-safe.
 */
public final class TokenBucket {

    private static final double NANOS_PER_SECOND = 1e9;
    // Sums of refills lose a few bits; a caller at exactly the rate must not lose a token by that.
    private static final double ROUNDING = 1e-9;

    private double rate;
    private double burst;
    private double tokens;
    private long refilled;

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
        refilled = now;
    }

    /**
     * Changes rate and burst. Tokens above the new burst are lost.
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
     * Returns the level.
     *
     * @param now monotonic time in nanoseconds
     * @param outstanding tokens handed out that may still be spent
     * @return tokens that can be taken
     */
    public double level(long now, double outstanding) {
        refill(now, outstanding);
        return tokens;
    }

    /**
     * Takes tokens that are there.
     *
     * @param amount tokens, at most the level
     */
    public void take(double amount) {
        tokens = Math.max(0, tokens - amount);
    }

    /**
     * Empties the bucket as of now.
     *
     * @param now monotonic time in nanoseconds
     */
    public void restart(long now) {
        tokens = 0;
        refilled = now;
    }

    private void refill(long now, double outstanding) {
        if (now > refilled) {
            tokens += rate * (now - refilled) / NANOS_PER_SECOND + ROUNDING;
            refilled = now;
        }
        tokens = Math.max(0, Math.min(tokens, burst - outstanding));
    }
}
