package io.fuchsiastand.limit;

import java.util.List;
import java.util.Optional;

import io.fuchsiastand.protocol.RenewReply;
import io.fuchsiastand.protocol.RenewRequest;

/**
 * The messages by which the two daemons of a shard renew each other's leases, and lend and hand over halves. A lease
 * that the partner confirms begins when this process sent the message that the partner answered. A lease that this
 * process confirms to the partner is assumed to begin when this process receives the partner's message.
 */
class ShardLeaseRenewal extends ShardLeaseState {

    ShardLeaseRenewal(String self, long selfStart, int shard, LeaseTerms terms) {
        super(self, selfStart, shard, terms);
    }

    /**
     * Applies an entry of the shard table, from whatever source. A higher epoch ends all leases of the earlier one; an
     * entry that is not of a higher epoch has no effect.
     *
     * @param newEntry the entry
     * @param now the time
     */
    public void applyEntry(ShardEntry newEntry, long now) {
        if (newEntry.epoch() <= entry.epoch()) {
            return;
        }
        startEpoch(newEntry, now);
        earlierPartnerRenewedAt = partnerRenewedAt;
        entryReceived = true;
        holdsOwnHalf = false;
        holdsPartnerHalf = false;
        ownHalfAvailableAt = NOT_SCHEDULED;
        partnerHalfAvailableAt = NOT_SCHEDULED;
        lentOutUntil = ALREADY_EXPIRED;
        leaseExpiry = ALREADY_EXPIRED;
        if (isSole()) {
            // This process may not know who wrote the entry, so it waits until leases of earlier epochs have expired.
            ownHalfAvailableAt = earlierLeasesExpiry();
            partnerHalfAvailableAt = earlierLeasesExpiry();
            leaseExpiry = NO_EXPIRY;
        }
    }

    /**
     * Creates the message by which the holder renews the leases of the pair. If the holder also holds the half of a
     * standby that has answered, the message hands that half over.
     *
     * @param now the time
     * @return the message for the standby, or nothing if this daemon is not a holder with a standby, has begun a claim,
     *     or has released its leases
     */
    public Optional<RenewRequest> createRenewal(long now) {
        if (!isHolder() || entry.standby().isEmpty() || claiming || released) {
            return Optional.empty();
        }
        holdAvailableHalves(now);
        if (holdsPartnerHalf && partnerStart != 0 && !partnerReleased) {
            holdsPartnerHalf = false;
            borrowedUntil = ALREADY_EXPIRED;
            handingOver = true;
        }
        return Optional.of(newRequest(now).build());
    }

    /**
     * Ends all leases of this process for good and creates the message that hands its halves to the partner.
     *
     * @param now the time
     * @return the message for the partner, or nothing if this daemon has no partner, has begun a claim, has already
     *     released its leases, or is not named by the entry
     */
    public Optional<RenewRequest> release(long now) {
        if (released || claiming || !entry.includes(self) || partner().isEmpty()) {
            released = true;
            return Optional.empty();
        }
        holdAvailableHalves(now);
        boolean holds = holdsOwnHalf && now < leaseExpiry;
        boolean gives = (holdsPartnerHalf || handingOver) && now < leaseExpiry;
        released = true;
        return Optional.of(newRequest(now)
                .setRelease(true)
                .setHoldsHalf(holds)
                .setGivesHalf(gives)
                .build());
    }

    /**
     * Handles a renewal or a release that another daemon sent.
     *
     * @param from the host of the sender
     * @param fromStart the start of the sending process
     * @param request its message
     * @param now the time of receipt
     * @return the reply; its field {@code renewed} is false if the request is stale or a duplicate, is a renewal sent
     *     to the holder, or comes from a process that this daemon does not trust, or if this daemon has begun a claim
     *     or released its leases
     */
    public RenewReply handleRequest(String from, long fromStart, RenewRequest request, long now) {
        if (request.getEpoch() > entry.epoch() && !request.getRelease()) {
            // The request does not tell whether the entry is pending. Treating it as pending can only delay a
            // takeover or the use of a half.
            applyEntry(new ShardEntry(entry.shard(), request.getEpoch(), from, self, true, List.of(), List.of()), now);
        }
        boolean stale = request.getEpoch() != entry.epoch()
                || !entry.includes(self)
                || !from.equals(partner())
                || claiming
                || released
                || fromStart < partnerStart;
        if (stale || (isHolder() && !request.getRelease())) {
            return refusal(request);
        }
        if (isHolder()) {
            return fromStart == partnerStart ? acceptRelease(request, now) : refusal(request);
        }
        boolean duplicate = fromStart == partnerStart && request.getSequence() <= lastAnsweredSequence;
        if (duplicate || !isTrusted(request.getVerified(), fromStart, now)) {
            return refusal(request);
        }
        recordPartnerStart(fromStart);
        verified |= request.getToStart() == selfStart;
        lastAnsweredSequence = request.getSequence();
        lastContactAt = now;
        applyAcknowledgement(request, now);
        if (request.getRelease()) {
            return acceptRelease(request, now);
        }
        if (request.getGivesHalf() && request.getToStart() == selfStart) {
            holdOwnHalfAfterLending(now);
        }
        return renewHolderLease(request, now);
    }

    /**
     * Handles the reply of the standby to a renewal. A refusal, a stale reply, or a reply of an untrusted process has
     * no effect.
     *
     * @param start the start of the replying process
     * @param reply its reply
     * @param now the time of receipt
     */
    public void handleReply(long start, RenewReply reply, long now) {
        Long sent = requestSentAt.get(reply.getSequence());
        boolean stale = !reply.getRenewed()
                || reply.getEpoch() != entry.epoch()
                || !isHolder()
                || sent == null
                || claiming
                || released
                || start < partnerStart
                || reply.getSequence() <= lastAnsweredSequence;
        if (stale || !isTrusted(reply.getVerified(), start, now)) {
            return;
        }
        boolean replaced = partnerStart != 0 && start > partnerStart;
        if (replaced) {
            partnerReleased = false;
        }
        partnerStart = start;
        verified = true;
        acknowledgedAt = sent;
        lastAnsweredSequence = reply.getSequence();
        lastContactAt = now;
        partnerRenewedAt = now;
        requestSentAt.keySet().removeIf(s -> s <= reply.getSequence());
        extendLease(addTerm(sent, terms.halfTerm()), now);
        confirmFromPartner(reply.getConfirmationAgeMillis(), sent);
        if (reply.getGivesHalf()) {
            holdOwnHalf(now);
        }
        if (reply.getHoldsHalf()) {
            handingOver = false;
            partnerHasHeldItsHalf = true;
        } else if (replaced && (partnerHasHeldItsHalf || handingOver)) {
            // The process that held the half has ended, and the new process of its host does not hold it.
            handingOver = false;
            holdPartnerHalf(now);
        }
        if (reply.getLends()) {
            if (!holdsPartnerHalf && now >= borrowedUntil) {
                partnerHalfSince = now;
            }
            borrowedUntil = Math.max(borrowedUntil, addTerm(sent, terms.lendingTerm()));
        }
    }

    private RenewReply renewHolderLease(RenewRequest request, long now) {
        boolean gives = false;
        boolean earlierExpired = now >= earlierLeasesExpiry();
        if (request.getHoldsHalf()) {
            partnerHasHeldItsHalf = true;
            holdsPartnerHalf = false;
        } else if (holdsPartnerHalf || (request.getFresh() && (partnerHasHeldItsHalf || earlierExpired))) {
            gives = true;
            partnerHasHeldItsHalf = true;
            holdsPartnerHalf = false;
        }
        if (request.getFresh() && !holdsOwnHalf && earlierExpired) {
            // No process that could hold this half in this epoch is still running.
            holdOwnHalfAfterLending(now);
        }
        boolean lends = holdsOwnHalf;
        if (lends) {
            lentOutUntil = now + LeaseTerms.withClockDriftNanos(terms.lendingTerm());
        }
        partnerRenewedAt = now;
        requestAnsweredAt.put(request.getSequence(), now);
        requestAnsweredAt.keySet().removeIf(s -> s < request.getSequence() - MAX_TRACKED_MESSAGES);
        return RenewReply.newBuilder()
                .setShard(entry.shard())
                .setEpoch(entry.epoch())
                .setSequence(request.getSequence())
                .setRenewed(true)
                .setHoldsHalf(holdsOwnHalf)
                .setLends(lends)
                .setGivesHalf(gives)
                .setVerified(verified)
                .setConfirmationAgeMillis(confirmationAgeMillis(now))
                .build();
    }

    private RenewReply acceptRelease(RenewRequest request, long now) {
        if (!partnerReleased) {
            partnerReleased = true;
            lastContactAt = now;
        }
        handingOver = false;
        if (request.getHoldsHalf()) {
            holdPartnerHalf(now);
        }
        if (request.getGivesHalf() && request.getToStart() == selfStart) {
            holdOwnHalf(now);
        }
        if (!isHolder()) {
            lentOutUntil = ALREADY_EXPIRED;
        }
        return RenewReply.newBuilder()
                .setShard(entry.shard())
                .setEpoch(entry.epoch())
                .setSequence(request.getSequence())
                .setRenewed(true)
                .setHoldsHalf(holdsOwnHalf)
                .build();
    }

    private RenewReply refusal(RenewRequest request) {
        return RenewReply.newBuilder()
                .setShard(entry.shard())
                .setEpoch(entry.epoch())
                .setSequence(request.getSequence())
                .build();
    }

    private RenewRequest.Builder newRequest(long now) {
        sequence++;
        requestSentAt.put(sequence, now);
        requestSentAt.keySet().removeIf(s -> s < sequence - MAX_TRACKED_MESSAGES);
        return RenewRequest.newBuilder()
                .setShard(entry.shard())
                .setEpoch(entry.epoch())
                .setSequence(sequence)
                .setAcknowledged(lastAnsweredSequence)
                .setHoldsHalf(holdsOwnHalf)
                .setGivesHalf(handingOver)
                .setToStart(partnerStart)
                .setVerified(verified)
                .setFresh(entryReceived
                        && !partnerHasHeldItsHalf
                        && !holdsPartnerHalf
                        && !handingOver
                        && partnerHalfAvailableAt == NOT_SCHEDULED)
                .setConfirmationAgeMillis(confirmationAgeMillis(now));
    }

    private void applyAcknowledgement(RenewRequest request, long now) {
        Long at = requestAnsweredAt.get(request.getAcknowledged());
        if (at != null) {
            acknowledgedAt = at;
            extendLease(addTerm(at, terms.halfTerm()), now);
            confirmFromPartner(request.getConfirmationAgeMillis(), at);
        }
    }

    // Returns whether the partner's process may renew leases in this epoch. A new process that is not verified may do
    // so only if the earlier process of its host cannot have begun a claim. A process begins a claim only after it has
    // received nothing for the silence term, and never after it has released its leases.
    private boolean isTrusted(boolean isVerified, long start, long now) {
        if (isVerified || start == partnerStart) {
            return true;
        }
        long silence = terms.silenceTerm().toNanos();
        boolean recent = now < acknowledgedAt + silence - silence / LeaseTerms.DRIFT_DIVISOR;
        return partnerStart != 0 && (partnerReleased || recent);
    }

    private void recordPartnerStart(long fromStart) {
        if (fromStart != partnerStart) {
            partnerStart = fromStart;
            lastAnsweredSequence = 0;
            requestAnsweredAt.clear();
            acknowledgedAt = NOT_SET;
            partnerReleased = false;
        }
    }
}
