package io.fuchsiastand.limit;

import java.util.HashSet;
import java.util.Set;

/**
 * The progress of a takeover: which hosts may still hold leases of earlier epochs on the shard.
 *
 * <p>Not thread-safe.
 */
public final class TakeoverProgress {

    private static final long NOT_SURRENDERED = Long.MAX_VALUE;

    private final ShardEntry entry;
    private final LeaseTerms terms;
    private final long startedAt;
    private final Set<String> surrendered = new HashSet<>();
    private long holderSurrenderedAt = NOT_SURRENDERED;

    /**
     * Creates the progress of a takeover for which no host has surrendered yet.
     *
     * @param entry the entry that started the takeover, from {@link TakeoverEntries#startEntry}
     * @param terms the terms of leases
     * @param now monotonic time in nanoseconds, at which the shard table is known to contain the entry
     */
    public TakeoverProgress(ShardEntry entry, LeaseTerms terms, long now) {
        this.entry = entry;
        this.terms = terms;
        startedAt = now;
    }

    /**
     * Returns the shard entry of the takeover.
     *
     * @return the entry that started the takeover
     */
    public ShardEntry entry() {
        return entry;
    }

    /**
     * Returns whether a host must still be asked to surrender its leases.
     *
     * @param host the host
     * @return true until it has surrendered
     */
    public boolean isAwaiting(String host) {
        return !surrendered.contains(host);
    }

    /**
     * Records that a host holds no leases of earlier epochs.
     *
     * @param host the host
     * @param now monotonic time in nanoseconds
     */
    public void recordSurrender(String host, long now) {
        if (surrendered.add(host) && host.equals(entry.unsettled().get(0))) {
            holderSurrenderedAt = now;
        }
    }

    /**
     * Returns whether no host holds a lease any more. This is so when all hosts have surrendered; when the former
     * holder, which renewed the leases of the others, surrendered at least one half term ago; or when the leases have
     * expired because the platform did not confirm their epoch for the platform term. In the first two cases, if the
     * entry is pending, one half term must also have passed since the takeover started.
     *
     * @param now monotonic time in nanoseconds
     * @return true if this daemon may end the takeover and use both halves
     */
    public boolean isSettled(long now) {
        long halfTerm = LeaseTerms.withClockDriftNanos(terms.halfTerm());
        boolean renewalsExpired = holderSurrenderedAt != NOT_SURRENDERED && now - holderSurrenderedAt >= halfTerm;
        boolean allSurrendered = surrendered.containsAll(entry.unsettled());
        // If the entry is pending, a host that it does not list may still use a half under a lease of an earlier epoch.
        boolean noPendingHalf = !entry.pending() || now - startedAt >= halfTerm;
        return noPendingHalf && (allSurrendered || renewalsExpired)
                || now - startedAt >= LeaseTerms.withClockDriftNanos(terms.platformTerm());
    }
}
