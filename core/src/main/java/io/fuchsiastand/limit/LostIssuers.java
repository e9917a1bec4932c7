package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;

import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.Moment;

/**
 * Timeout-based failure detector for the hosts of the list of token issuers, as one daemon sees them. Tells which hosts are
 * lost, so that their right to issue tokens is to be revoked, and of which revoked hosts the leases have ended. The times count
 * only while this daemon is in contact with its peers: what it knows of the hosts is outdated after it was frozen, and a
 * revocation reaches a host that is in contact with others only if this daemon can pass it on.
 */
public final class LostIssuers {

    // Time for which a host may be unreachable before its right is revoked: a host that died, and one that left the
    // fleet
    // in order for a restart.
    private static final Duration MAX_ABSENCE = Duration.ofSeconds(5);
    private static final Duration MAX_RESTART_TIME = Duration.ofSeconds(20);
    // Further time for a revocation to reach its host by anti-entropy, if its gossip may have been interrupted.
    private static final Duration ANTI_ENTROPY_TIME = Duration.ofSeconds(15);

    private final Clock clock;
    // Since when hosts cannot be reached, and since when this daemon has known that they are revoked, in nanoseconds of
    // the monotonic clock.
    private final Map<String, Long> absentSince = new HashMap<>();
    private final Map<String, Long> revokedSince = new HashMap<>();
    private Moment observed;
    private boolean wasInContact;

    /**
     * Creates the detector.
     *
     * @param clock the clock
     */
    public LostIssuers(Clock clock) {
        this.clock = clock;
    }

    /**
     * What follows from the latest observation.
     *
     * @param lost the hosts whose right is to be revoked
     * @param ended the revoked hosts that no longer issue tokens
     */
    public record Findings(List<String> lost, List<String> ended) {

        /**
         * Returns whether there is nothing to change in the list.
         *
         * @return true if no host is lost and no lease of a revoked host has ended
         */
        public boolean isEmpty() {
            return lost.isEmpty() && ended.isEmpty();
        }
    }

    /**
     * Records which hosts are reachable. Must be called several times within {@link IssueLease#TERM}.
     *
     * @param list the newest list that this daemon knows
     * @param reachable the names of the reachable hosts
     * @param restarting whether an unreachable host has left the fleet in order
     * @param inContact whether this daemon reaches at least half of the fleet, and peers have answered it within
     *     {@link IssueLease#TERM}, or it has no peers
     * @return the findings
     */
    public Findings observe(TokenIssuers list, Set<String> reachable, Predicate<String> restarting, boolean inContact) {
        long now = clock.nanoTime();
        boolean wasFrozen = observed != null && observed.age(clock).compareTo(IssueLease.TERM) >= 0;
        wasInContact |= inContact;
        observed = Moment.now(clock);
        List<String> absent = list.hosts().stream()
                .filter(h -> list.mayIssue(h) && !reachable.contains(h))
                .toList();
        absentSince.keySet().retainAll(absent);
        absent.forEach(h -> absentSince.putIfAbsent(h, now));
        revokedSince.keySet().retainAll(list.revoked());
        list.revoked().forEach(h -> revokedSince.putIfAbsent(h, now));
        if (!inContact || wasFrozen) {
            absentSince.replaceAll((h, t) -> now);
            // A daemon that has just started passes the list on by gossip once it finds its peers.
            long further = wasInContact ? ANTI_ENTROPY_TIME.toNanos() : 0;
            revokedSince.replaceAll((h, t) -> now + further);
        }
        return new Findings(
                olderThan(absentSince, h -> restarting.test(h) ? MAX_RESTART_TIME : MAX_ABSENCE, now),
                olderThan(revokedSince, h -> IssueLease.END_AFTER_REVOCATION, now));
    }

    /** Waits for the end of all leases anew, since the store may have lost revocations. */
    public void restartWaits() {
        revokedSince.clear();
    }

    private static List<String> olderThan(Map<String, Long> since, Function<String, Duration> age, long now) {
        return since.entrySet().stream()
                .filter(e -> now - e.getValue() >= age.apply(e.getKey()).toNanos())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
    }
}
