package io.fuchsiastand.limit;

import java.time.Duration;
import java.util.List;

/**
 * The leases of one daemon on one shard. The shard table names a holder and a standby for each epoch. Each of the two
 * owns one half of every rate and burst, and the standby lends its half to the holder. A daemon uses a half only while
 * its lease is valid, and the two daemons renew each other's leases. At any moment, each half is used by at most one
 * process, whichever messages are lost, delayed or duplicated and whichever process is paused. The reasoning is in
 * docs/design/LIMITS.md.
 *
 * <p>A daemon whose partner is silent or has left makes a claim: by a conditional update of the shard table it begins a
 * new epoch, with itself as holder and another standby or none. It uses the half of the former partner only after the
 * lease of that partner has expired. A daemon without a partner makes a claim to add a standby, or to record that no
 * lease of an earlier epoch is left.
 *
 * <p>Not thread-safe.
 */
public final class ShardLeases extends ShardLeaseRenewal {

    /**
     * Creates the state of a daemon that has not yet applied an entry of the shard.
     *
     * @param self the name of this host
     * @param selfStart the start of this process in milliseconds of the wall clock, later than that of any earlier
     *     process on this host
     * @param shard the number of the shard
     * @param terms the terms of leases
     */
    public ShardLeases(String self, long selfStart, int shard, LeaseTerms terms) {
        super(self, selfStart, shard, terms);
    }

    /**
     * Returns the shard entry that this daemon applies.
     *
     * @return the entry with the highest epoch that it has received or written
     */
    public ShardEntry entry() {
        return entry;
    }

    /**
     * Records that the platform confirmed the current epoch. Another epoch has no effect.
     *
     * @param epoch the epoch in the platform's answer
     * @param requestedAt when the platform was asked
     */
    public void confirmEpoch(long epoch, long requestedAt) {
        if (epoch == entry.epoch()) {
            verified = true;
            confirmedAt = Math.max(confirmedAt, requestedAt);
        }
    }

    /**
     * Returns the halves that this daemon may use now. Call this at the moment of a grant, after any wait.
     *
     * @param now the time
     * @return the halves
     */
    public UsableHalves usableHalves(long now) {
        boolean excluded =
                released || !entry.includes(self) || !entry.unsettled().isEmpty();
        if (excluded || now >= addTerm(confirmedAt, terms.platformTerm())) {
            return UsableHalves.NONE;
        }
        holdAvailableHalves(now);
        if (now >= leaseExpiry) {
            return UsableHalves.NONE;
        }
        return new UsableHalves(
                holdsOwnHalf && now >= lentOutUntil,
                holdsPartnerHalf || now < borrowedUntil,
                Math.max(ownHalfSince, lentOutUntil),
                partnerHalfSince);
    }

    /**
     * Returns whether this daemon should claim the shard by a conditional update of the shard table.
     *
     * @param now the time
     * @return false if this daemon has released its leases, or if the entry does not name it or has unsettled hosts.
     *     Otherwise true if a claim has begun, or if the partner has been silent for the silence term or has left and
     *     not returned within the restart term. Unless a claim has begun, the result is also false for a daemon without
     *     a partner, and for a standby that the holder has not contacted in this epoch, except in epoch 1.
     */
    public boolean isClaimDue(long now) {
        if (released || !entry.includes(self) || !entry.unsettled().isEmpty()) {
            return false;
        }
        if (claiming) {
            return true;
        }
        // A standby that the holder has not contacted in this epoch cannot know whether the earlier epoch has ended.
        boolean mayClaim = isHolder() || partnerStart != 0 || entry.epoch() == 1;
        if (partner().isEmpty() || !mayClaim) {
            return false;
        }
        Duration wait = partnerReleased ? terms.restartTerm() : terms.silenceTerm();
        return now >= addTerm(lastContactAt, wait);
    }

    /**
     * Begins a claim. If there is a partner, this daemon answers it no more in this epoch. Call this before writing to
     * the shard table.
     *
     * @param newStandby the host of the new standby, or an empty string
     * @param now the time
     * @return the entry to write if the table still has the current epoch
     */
    public ShardEntry beginClaim(String newStandby, long now) {
        claimSentAt = now;
        boolean sole = isSole();
        if (!sole) {
            claiming = true;
        } else {
            // The write may take effect at any time from now on, even if the platform's answer is lost. The leases then
            // depend on the new standby and must expire unless it confirms them.
            leaseExpiry = Math.min(leaseExpiry, addTerm(now, terms.halfTerm()));
        }
        boolean pending = sole
                ? ownHalfAvailableAt != NOT_SCHEDULED || partnerHalfAvailableAt != NOT_SCHEDULED
                : !(holdsOwnHalf && holdsPartnerHalf);
        List<String> previous = entry.hosts().stream()
                .filter(h -> !h.equals(self) && !h.equals(newStandby))
                .toList();
        return new ShardEntry(entry.shard(), entry.epoch() + 1, self, newStandby, pending, previous, List.of());
    }

    /**
     * Records that the platform rejected the claim and did not write it. If this daemon is the only host that the entry
     * names, its leases again have no expiry. Otherwise nothing changes, and a claim stays due.
     *
     * @param now the time
     */
    public void recordRejectedClaim(long now) {
        if (isSole()) {
            leaseExpiry = NO_EXPIRY;
        }
    }

    /**
     * Records that the platform has written the entry that {@link #beginClaim} returned.
     *
     * @param newEntry the entry
     * @param now the time at which the platform's answer arrived
     */
    public void completeClaim(ShardEntry newEntry, long now) {
        if (newEntry.epoch() != entry.epoch() + 1) {
            return;
        }
        holdAvailableHalves(now);
        boolean sole = isSole();
        long partnerExpiry =
                Math.max(partnerRenewedAt, entryAppliedAt) + LeaseTerms.withClockDriftNanos(terms.halfTerm());
        if (!sole) {
            ownHalfAvailableAt = holdsOwnHalf ? NOT_SCHEDULED : partnerExpiry;
            if (!holdsPartnerHalf) {
                partnerHalfAvailableAt = partnerExpiry;
            }
        }
        startEpoch(newEntry, now);
        entryReceived = false;
        verified = true;
        leaseExpiry = newEntry.standby().isEmpty() ? NO_EXPIRY : addTerm(claimSentAt, terms.halfTerm());
        confirmedAt = claimSentAt;
    }

    /**
     * Records that the platform has written the entry that ends a takeover of the shard by this daemon. All leases of
     * earlier epochs have ended by then, so this daemon holds both halves.
     *
     * @param newEntry the entry, with this daemon as holder and no unsettled hosts
     * @param requestedAt when the platform was asked to write it
     * @param now the time
     */
    public void completeTakeover(ShardEntry newEntry, long requestedAt, long now) {
        if (newEntry.epoch() <= entry.epoch() || !newEntry.unsettled().isEmpty()) {
            return;
        }
        startEpoch(newEntry, now);
        entryReceived = false;
        verified = true;
        holdsOwnHalf = false;
        holdsPartnerHalf = false;
        holdOwnHalf(now);
        holdPartnerHalf(now);
        lentOutUntil = ALREADY_EXPIRED;
        leaseExpiry = newEntry.standby().isEmpty() ? NO_EXPIRY : addTerm(requestedAt, terms.halfTerm());
        confirmedAt = requestedAt;
    }

    /**
     * Returns whether the entry may be replaced by one that is not pending, so that a later process of this host need
     * not wait for leases of earlier epochs to expire.
     *
     * @param now the time
     * @return true if the entry is pending, names only this daemon, and this daemon holds both halves, which it
     *     has not released
     */
    public boolean canClearPending(long now) {
        holdAvailableHalves(now);
        return isSole() && entry.pending() && holdsOwnHalf && holdsPartnerHalf && !released;
    }

    /**
     * Returns whether this process is known to take part in the current epoch.
     *
     * @return true if it wrote the entry, read it from the platform, or has been accepted by its partner
     */
    public boolean isVerified() {
        return verified;
    }

    /**
     * Returns the start of the partner's process.
     *
     * @return the start, or 0 before the first contact with the partner in this epoch
     */
    public long partnerStart() {
        return partnerStart;
    }

    /**
     * Returns the time of the last confirmation of the epoch by the platform.
     *
     * @return monotonic time in nanoseconds, far in the past if there was none
     */
    public long confirmedAt() {
        return confirmedAt;
    }
}
