package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.OptionalLong;

import io.fuchsiastand.time.Clock;
import io.fuchsiastand.time.Moment;

/**
 * The lease under which a host of the list of token issuers issues tokens. It ends {@link #TERM} after the host last had evidence
 * that its right is not revoked, and so while the host is cut off, frozen or suspended. Other hosts remove a revoked host from
 * the list only after {@link #END_AFTER_REVOCATION}, when this lease has ended.
 *
 * <p>That the store holds no later list is evidence. So is an answer of a peer while most hosts can be reached, since a daemon
 * that revokes the right reaches at least half of them, and passes the revocation on. It may have done so before this host
 * came into contact with its peers. Therefore answers count only after the list has been read once since then or, if the
 * store is unavailable, after some exchanges of records with peers. A daemon that has just started has read the list right
 * before, and exchanges records often.
 *
 * <p>Thread-safe.
 */
public final class IssueLease {

    /** Time for which a host issues tokens after its latest evidence. */
    public static final Duration TERM = Duration.ofSeconds(4);
    /** Time after the revocation at which the lease of the host has ended, with a margin for clocks that differ in speed. */
    public static final Duration END_AFTER_REVOCATION = TERM.plusSeconds(1);

    // Exchanges with peers, and time in contact with them, that replace a read of the list.
    private static final int MIN_EXCHANGES = 4;
    private static final Duration MIN_CONTACT = Duration.ofSeconds(15);
    // Exchanges of a daemon that has read the list at its start and then finds its peers.
    private static final int MIN_FIRST_EXCHANGES = 2;

    private final Clock clock;
    // The time of the latest evidence, or null before the first.
    private Moment evidence;
    private long heldSinceNanos;
    // Since when peers have answered without a break and most hosts have been reachable, or null if they do not.
    private Moment contactSince;
    private Moment observed;
    // Whether the newest list has been read, or has certainly arrived, since then.
    private boolean confirmed;
    private boolean isFirstContact = true;
    private boolean storeUnavailable;
    private Moment lastExchange;
    private int exchanges;

    /**
     * Creates a lease, which is not held before it is first renewed.
     *
     * @param clock the clock
     */
    public IssueLease(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that the store holds the list that this daemon uses, or that this daemon has written it.
     *
     * @param before when the request was sent
     */
    public synchronized void confirm(Moment before) {
        storeUnavailable = false;
        confirmed |= contactSince != null && before.isAfter(contactSince);
        renew(before);
    }

    /** Records that the list could not be read. */
    public synchronized void recordStoreFailure() {
        storeUnavailable = true;
    }

    /**
     * Records the contact with peers. Must be called several times within {@link #TERM}.
     *
     * @param answered when the latest probe was sent that a peer has answered, or null before the first
     * @param exchange when the latest exchange with a peer was started after which this daemon had all of its records, or null
     * @param most whether most hosts of the fleet are reachable
     */
    public synchronized void observePeers(Moment answered, Moment exchange, boolean most) {
        boolean frozen = observed != null && isOlderThan(TERM, observed);
        observed = Moment.now(clock);
        if (frozen || !most || answered == null || isOlderThan(TERM, answered)) {
            isFirstContact &= contactSince == null;
            contactSince = null;
            confirmed = false;
            return;
        }
        if (contactSince == null) {
            contactSince = observed;
            lastExchange = observed;
            exchanges = 0;
        }
        if (exchange != null && exchange.isAfter(lastExchange)) {
            lastExchange = exchange;
            exchanges++;
        }
        boolean exchanged = storeUnavailable && exchanges >= MIN_EXCHANGES && isOlderThan(MIN_CONTACT, contactSince);
        confirmed |= exchanged || (isFirstContact && isHeld() && exchanges >= MIN_FIRST_EXCHANGES);
        if (confirmed) {
            renew(answered);
        }
    }

    /** Renews the lease of the only host of a fleet. */
    public synchronized void renewAlone() {
        renew(Moment.now(clock));
    }

    /**
     * Returns since when this host has held the lease without a break.
     *
     * @return the monotonic time in nanoseconds, or empty if the lease has ended
     */
    public synchronized OptionalLong heldSince() {
        return isHeld() ? OptionalLong.of(heldSinceNanos) : OptionalLong.empty();
    }

    /**
     * Returns whether the list should be read from the store.
     *
     * @return true if the lease has ended or is about to end, or if answers of peers do not count before
     */
    public synchronized boolean needsConfirmation() {
        return evidence == null
                || isOlderThan(TERM.multipliedBy(3).dividedBy(4), evidence)
                || (contactSince != null && !confirmed && !isFirstContact);
    }

    private void renew(Moment when) {
        if (!when.isAfter(evidence)) {
            return;
        }
        if (!isHeld()) {
            heldSinceNanos = clock.nanoTime();
        }
        evidence = when;
    }

    private boolean isHeld() {
        return evidence != null && !isOlderThan(TERM, evidence);
    }

    private boolean isOlderThan(Duration age, Moment m) {
        return m.age(clock).compareTo(age) >= 0;
    }
}
