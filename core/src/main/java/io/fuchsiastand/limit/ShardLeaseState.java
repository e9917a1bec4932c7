package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * The state of one daemon's leases on one shard, and the basic changes of that state. All times are readings of the
 * monotonic clock of this process, in nanoseconds.
 */
class ShardLeaseState {

    /** Expiry of leases that no partner needs to confirm. */
    static final long NO_EXPIRY = Long.MAX_VALUE;
    /** Time at which a half becomes available when none is scheduled. */
    static final long NOT_SCHEDULED = Long.MAX_VALUE;
    /** A time before all others. Adding a term to it or subtracting it from a clock reading does not overflow. */
    static final long NOT_SET = Long.MIN_VALUE / 4;
    /** Expiry of what is not granted or lent. */
    static final long ALREADY_EXPIRED = NOT_SET;
    /** Number of the latest requests whose times are kept. */
    static final int MAX_TRACKED_MESSAGES = 64;

    private static final long NANOS_PER_MILLI = 1_000_000;

    final String self;
    final long selfStart;
    final LeaseTerms terms;
    // Times at which this process sent requests or answered them, by sequence number.
    final Map<Long, Long> requestSentAt = new HashMap<>();
    final Map<Long, Long> requestAnsweredAt = new HashMap<>();

    // Shard entry with the highest epoch that this process has received or written.
    ShardEntry entry;
    // Whether this process holds its own half, and whether it holds that of its present or former partner.
    boolean holdsOwnHalf;
    boolean holdsPartnerHalf;
    // Times from which this process may hold a half, because the lease of the process that held it has expired by then.
    long ownHalfAvailableAt = NOT_SCHEDULED;
    long partnerHalfAvailableAt = NOT_SCHEDULED;
    // Expiry of all leases of this epoch, unless the partner confirms them again.
    long leaseExpiry = ALREADY_EXPIRED;
    // Times since which this process has been able to use the halves without a gap.
    long ownHalfSince = NOT_SET;
    long partnerHalfSince = NOT_SET;
    // End of the loan of the partner's half to this process, and of the loan of the own half to the partner.
    long borrowedUntil = ALREADY_EXPIRED;
    long lentOutUntil = ALREADY_EXPIRED;
    // Each lease that this process has confirmed to a partner, in this epoch or an earlier one, began at this time or
    // before.
    long partnerRenewedAt = NOT_SET;
    // Value of partnerRenewedAt when applyEntry last started an epoch.
    long earlierPartnerRenewedAt = NOT_SET;
    // Latest time at which the platform is known to have named the current epoch.
    long confirmedAt = NOT_SET;
    // Time of the latest valid message of the partner, or the start of the epoch.
    long lastContactAt = NOT_SET;
    long entryAppliedAt = NOT_SET;
    // Start of the partner's process, or 0 while this process has had no contact with it in this epoch.
    long partnerStart;
    // Sequence number of the latest request that this process sent.
    long sequence;
    // Highest sequence number that the standby has answered, as this process knows it.
    long lastAnsweredSequence;
    // Latest time at which this process sent a message that the partner's present process has certainly received.
    long acknowledgedAt = NOT_SET;
    // This process applied the current entry with applyEntry, not by completing its own claim or takeover.
    boolean entryReceived;
    // This process wrote the entry of the epoch, read it from the platform, or has been accepted by its partner. Until
    // then others may not rely on its answers, because an earlier process of this host may have moved the shard to a
    // later epoch.
    boolean verified;
    // This process has stopped using the partner's half and offers it to the partner until the partner holds it.
    boolean handingOver;
    // A process of the partner has held the partner's half in this epoch or has been given it.
    boolean partnerHasHeldItsHalf;
    // This process has begun to write the entry of the next epoch and answers its partner no more in this epoch.
    boolean claiming;
    // This process has ended all its leases because it shuts down.
    boolean released;
    // The partner's process has ended its leases because it shuts down.
    boolean partnerReleased;
    long claimSentAt;

    ShardLeaseState(String self, long selfStart, int shard, LeaseTerms terms) {
        this.self = self;
        this.selfStart = selfStart;
        this.terms = terms;
        entry = ShardEntry.absent(shard);
    }

    /**
     * Returns whether this daemon is the holder.
     *
     * @return true if the current entry names it as holder
     */
    public boolean isHolder() {
        return entry.holder().equals(self);
    }

    /**
     * Returns whether the current entry names only this daemon.
     *
     * @return true if it is the holder, there is no standby, and no takeover is in progress
     */
    public boolean isSole() {
        return isHolder() && entry.standby().isEmpty() && entry.unsettled().isEmpty();
    }

    // Applies the age of the platform's confirmation as the partner reported it in a message that it sent at the given
    // time or later. The partner rounds the age down to whole milliseconds, so this method assumes the earliest time of
    // the confirmation that the age allows.
    void confirmFromPartner(long ageMillis, long sentNoEarlierThan) {
        if (ageMillis >= 0) {
            confirmedAt = Math.max(confirmedAt, sentNoEarlierThan - (ageMillis + 1) * NANOS_PER_MILLI);
        }
    }

    long confirmationAgeMillis(long now) {
        return confirmedAt <= NOT_SET ? -1 : (now - confirmedAt) / NANOS_PER_MILLI;
    }

    // Holds the own half but does not use it for the lending term, because an earlier process of this host may have
    // lent it to the partner.
    void holdOwnHalfAfterLending(long now) {
        if (!holdsOwnHalf) {
            holdOwnHalf(now);
            lentOutUntil = now + LeaseTerms.withClockDriftNanos(terms.lendingTerm());
        }
    }

    // Returns the time by which every lease of an earlier epoch has expired. If the entry is not pending and names no
    // previous hosts, only the leases that this process confirmed in earlier epochs count. Otherwise the half term
    // counts from the time at which this process applied the entry.
    long earlierLeasesExpiry() {
        boolean noOtherHost = !entry.pending() && entry.previous().isEmpty();
        long from = !noOtherHost ? entryAppliedAt : Math.min(entryAppliedAt, earlierPartnerRenewedAt);
        return Math.max(entryAppliedAt, from + LeaseTerms.withClockDriftNanos(terms.halfTerm()));
    }

    void holdAvailableHalves(long now) {
        if (now >= ownHalfAvailableAt) {
            holdOwnHalf(now);
        }
        if (now >= partnerHalfAvailableAt) {
            holdPartnerHalf(now);
        }
    }

    void holdOwnHalf(long now) {
        if (!holdsOwnHalf) {
            holdsOwnHalf = true;
            ownHalfSince = now;
        }
        ownHalfAvailableAt = NOT_SCHEDULED;
    }

    void holdPartnerHalf(long now) {
        if (!holdsPartnerHalf) {
            holdsPartnerHalf = true;
            partnerHalfSince = now < borrowedUntil ? partnerHalfSince : now;
        }
        partnerHalfAvailableAt = NOT_SCHEDULED;
    }

    // If the leases expired before this confirmation, the halves count as usable only since now, because another
    // process may have used them in between.
    void extendLease(long end, long now) {
        if (now >= leaseExpiry) {
            ownHalfSince = now;
            partnerHalfSince = now;
        }
        leaseExpiry = Math.max(leaseExpiry, end);
    }

    String partner() {
        return entry.partnerOf(self);
    }

    void startEpoch(ShardEntry newEntry, long now) {
        entry = newEntry;
        requestSentAt.clear();
        requestAnsweredAt.clear();
        borrowedUntil = ALREADY_EXPIRED;
        lastContactAt = now;
        entryAppliedAt = now;
        confirmedAt = NOT_SET;
        acknowledgedAt = NOT_SET;
        verified = false;
        partnerStart = 0;
        lastAnsweredSequence = 0;
        handingOver = false;
        partnerHasHeldItsHalf = false;
        claiming = false;
        partnerReleased = false;
    }

    static long addTerm(long from, Duration term) {
        return from + term.toNanos();
    }
}
