package io.fuchsiastand.limit;

import java.time.Duration;

/**
 * The durations that govern leases on shards.
 *
 * @param halfTerm how long the leases of a daemon are valid after it sent the latest message that its partner has
 *     confirmed
 * @param lendingTerm how long a daemon may use a lent half after it sent the request that renewed the loan
 * @param silenceTerm how long a daemon receives nothing from its partner before it claims the shard
 * @param restartTerm how long a daemon waits for a partner that left gracefully to return before it claims the shard
 * @param platformTerm how long leases are valid after this daemon or its partner sent the request in whose answer the
 *     platform last confirmed their epoch
 */
public record LeaseTerms(
        Duration halfTerm, Duration lendingTerm, Duration silenceTerm, Duration restartTerm, Duration platformTerm) {

    /** The terms that apply when the settings have none. */
    public static final LeaseTerms DEFAULT = new LeaseTerms(
            Duration.ofMinutes(2),
            Duration.ofSeconds(1),
            Duration.ofSeconds(10),
            Duration.ofSeconds(20),
            Duration.ofHours(12));

    /** The clocks of two hosts may differ in speed by one part in this number. */
    static final int DRIFT_DIVISOR = 64;

    /**
     * Returns how long to wait until a lease of the given term has certainly expired on another host, whose clock may
     * run slower by up to one part in 64.
     *
     * @param term the term of the lease
     * @return the wait in nanoseconds
     */
    public static long withClockDriftNanos(Duration term) {
        return term.toNanos() + term.toNanos() / DRIFT_DIVISOR;
    }
}
